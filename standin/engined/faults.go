package main

import (
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"lentilstage.dev/standin/stand"
)

type (
	// faults lists the faults that a test can inject into the engine.
	faults struct {
		// Crash ends the process with exit code 3 when a request whose prompt contains this
		// text begins to run.
		Crash string `json:"Crash"`
		// Silent makes the streams that are open at the time of the post stop sending for
		// good, without a close. Later streams work.
		Silent bool `json:"Silent"`
		// SilentNext does the same to the next streams, each after SilentAfter tokens.
		SilentNext  int `json:"SilentNext"`
		SilentAfter int `json:"SilentAfter"`
		// CrossAnswers sends a chunk of another running attempt, or of an invented one if there
		// is none, before the right chunk, or with CrossReplace instead of it.
		CrossAnswers stand.Trigger `json:"CrossAnswers"`
		CrossReplace bool          `json:"CrossReplace"`
		// DoubleChunks sends a chunk twice.
		DoubleChunks stand.Trigger `json:"DoubleChunks"`
		// CutAfter closes the connection of each stream after this many tokens; 0 means never.
		CutAfter int `json:"CutAfter"`
		// Freeze stops all work and delays all answers, except those to admin calls, until
		// it is cleared.
		Freeze bool `json:"Freeze"`
	}

	// behaviours lists how versions differ from a healthy one. All matching entries apply.
	behaviours struct {
		Behaviours []behaviour `json:"Behaviours"`
	}

	// behaviour describes when and how a version fails or slows down.
	behaviour struct {
		// Version is the affected version; empty means all.
		Version string `json:"Version"`
		// From is the time from which the behaviour applies; zero means always.
		From time.Time `json:"From,omitzero"`
		// AboveRunning limits the behaviour to batches of more requests than this.
		AboveRunning int `json:"AboveRunning"`
		// PromptText limits the behaviour to prompts that contain it.
		PromptText string `json:"PromptText"`
		// FailProbability is the probability that a request fails. It fails with status 500,
		// or if FailAfter is not 0, by closing the connection after FailAfter tokens.
		FailProbability float64 `json:"FailProbability"`
		FailAfter       int     `json:"FailAfter"`
		// SlowFactor multiplies the time of a request's steps; 0 and 1 mean no change.
		SlowFactor float64 `json:"SlowFactor"`
	}
)

// freezePollInterval is the time between two checks whether a freeze has been cleared.
const freezePollInterval = 5 * time.Millisecond

func (b behaviour) applies(a *attempt, running int, now time.Time) bool {
	return (b.Version == "" || b.Version == a.version) &&
		!now.Before(b.From) &&
		running > b.AboveRunning &&
		strings.Contains(a.prompt, b.PromptText)
}

// fails draws at random whether the attempt fails, and returns after how many tokens.
func (b behaviours) fails(a *attempt, running int, now time.Time) (int, bool) {
	for _, c := range b.Behaviours {
		if c.applies(a, running, now) && stand.DrawHit(c.FailProbability) {
			return c.FailAfter, true
		}
	}
	return 0, false
}

// slowFactor returns the factor of the attempt's step time, at least 1.
func (b behaviours) slowFactor(a *attempt, running int, now time.Time) float64 {
	factor := 1.0
	for _, c := range b.Behaviours {
		if c.applies(a, running, now) {
			factor = max(factor, c.SlowFactor)
		}
	}
	return factor
}

// waitWhileFrozen blocks until the engine is not frozen or the process ends.
func (s *service) waitWhileFrozen() {
	for s.faults.Get().Freeze && s.ctx.Err() == nil {
		time.Sleep(freezePollInterval)
	}
}

// blockWhileFrozen delays calls, except admin calls, while the engine is frozen.
func (s *service) blockWhileFrozen(c *fiber.Ctx) error {
	if !strings.HasPrefix(c.Path(), "/admin/") {
		s.waitWhileFrozen()
	}
	return c.Next()
}

// consumeSilence reports whether SilentNext silences a stream that has sent the given number of
// tokens, and if so uses up one of its cases.
func (s *service) consumeSilence(sent int) bool {
	silent := false
	s.faults.Update(func(f *faults) {
		if f.SilentNext > 0 && sent >= f.SilentAfter {
			f.SilentNext--
			silent = true
		}
	})
	return silent
}
