package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/wire/wire"
)

type (
	// outcome is how a call ended for its caller.
	outcome string

	// result holds the outcome and the figures of one call.
	result struct {
		outcome outcome
		// fault describes a wrong answer or a lost request.
		fault      string
		refusals   []codes.Code
		retries    int
		reconnects int
		duration   time.Duration
		// key is the idempotency key of an unrepeatable call.
		key string
		// The fields below are set for model requests only.
		firstToken time.Duration
		tokens     int
		gaps       []time.Duration
		usage      wire.ChatUsage
	}

	// Percentiles describe a distribution in milliseconds.
	Percentiles struct {
		Count int64   `json:"Count"`
		P50   float64 `json:"P50"`
		P95   float64 `json:"P95"`
		P99   float64 `json:"P99"`
		Max   float64 `json:"Max"`
	}

	// stats counts the calls of one kind.
	stats struct {
		Sent     int             `json:"Sent"`
		Outcomes map[outcome]int `json:"Outcomes"`
		// Refusals counts refusals by code and name, including those of calls that a later
		// try completed.
		Refusals   map[string]int `json:"Refusals"`
		Retries    int            `json:"Retries"`
		Reconnects int            `json:"Reconnects"`
		// Tokens counts the received answer tokens.
		Tokens int `json:"Tokens"`
		// The usage sums are those that daemons reported with complete answers.
		PromptTokens   int `json:"PromptTokens"`
		CachedTokens   int `json:"CachedTokens"`
		ComputedTokens int `json:"ComputedTokens"`
		// RecomputedTokens counts the prompt and answer tokens that engines computed again
		// for resumed answers. An answer was resumed if its usage has more tokens than its
		// prompt. A restart before the first token is not counted.
		RecomputedTokens int `json:"RecomputedTokens"`

		FirstTokenMs    Percentiles `json:"FirstTokenMs"`
		BetweenTokensMs Percentiles `json:"BetweenTokensMs"`
		// AnswerMs is the time from sending to the complete answer, of complete calls.
		AnswerMs Percentiles `json:"AnswerMs"`

		firstToken, betweenTokens, wholeAnswer *hdrhistogram.Histogram
	}

	// orderOutcome is the outcome of the unrepeatable call with a key.
	orderOutcome struct {
		Key     string  `json:"Key"`
		Outcome outcome `json:"Outcome"`
	}

	// report collects the results of a run.
	report struct {
		mutex sync.Mutex

		Shape   string            `json:"Shape"`
		Seed    uint64            `json:"Seed"`
		Rate    float64           `json:"Rate"`
		Started time.Time         `json:"Started"`
		Seconds float64           `json:"Seconds"`
		Kinds   map[string]*stats `json:"Kinds"`
		// Faults holds up to maxFaults examples of wrong answers, lost requests and executions
		// that contradict the outcome of a call.
		Faults []string       `json:"Faults"`
		Orders []orderOutcome `json:"Orders"`
		// Executions is nil unless the apps were checked.
		Executions *executionSummary `json:"Executions,omitempty"`
	}
)

const (
	// outcomeComplete means that the complete and correct answer was received.
	outcomeComplete outcome = "Complete"
	// outcomeWrong means that a part of an answer was wrong.
	outcomeWrong outcome = "Wrong"
	// outcomeRefused means that the last try was refused.
	outcomeRefused outcome = "Refused"
	// outcomeSuperseded means that a newer request of the user replaced this one.
	outcomeSuperseded outcome = "Superseded"
	// outcomeUnknown means that the caller does not know whether the call ran.
	outcomeUnknown outcome = "Unknown"
	// outcomeLost means that an accepted request got no complete answer by its deadline.
	outcomeLost outcome = "Lost"
	// outcomeFailed means that the plain service answered with an error.
	outcomeFailed outcome = "Failed"

	maxFaults = 20
	// maxMicroseconds and significantDigits are the range and the precision of the histograms.
	maxMicroseconds   = 600_000_000
	significantDigits = 3
)

var outcomes = []outcome{outcomeComplete, outcomeWrong, outcomeRefused, outcomeSuperseded, outcomeUnknown, outcomeLost, outcomeFailed}

// withAnswer returns the result with the outcome and the answer's figures.
func (r result) withAnswer(o outcome, a *answerTracker, begin time.Time) result {
	r.outcome, r.tokens, r.gaps, r.usage = o, a.received, a.gaps, a.usage
	switch o {
	case outcomeWrong:
		r.fault = fmt.Sprintf("request %s: %s", a.id, a.problem)
	case outcomeLost:
		r.fault = fmt.Sprintf("request %s: accepted at %s, lost after %d tokens and %d reconnects",
			a.id, begin.UTC().Format(time.RFC3339Nano), a.received, r.reconnects)
	}
	if a.received > 0 {
		r.firstToken = a.firstToken.Sub(begin)
	}
	return r
}

func newReport(o options) *report {
	r := &report{Shape: o.shape, Seed: o.seed, Rate: o.rate, Started: time.Now().UTC(), Kinds: map[string]*stats{}}
	for _, k := range o.kinds() {
		r.Kinds[k.name] = &stats{
			Outcomes:      map[outcome]int{},
			Refusals:      map[string]int{},
			firstToken:    hdrhistogram.New(1, maxMicroseconds, significantDigits),
			betweenTokens: hdrhistogram.New(1, maxMicroseconds, significantDigits),
			wholeAnswer:   hdrhistogram.New(1, maxMicroseconds, significantDigits),
		}
	}
	return r
}

// add records the result of a call of the kind.
func (r *report) add(kind string, result result) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.Kinds[kind]
	s.Sent++
	s.Outcomes[result.outcome]++
	s.Retries += result.retries
	s.Reconnects += result.reconnects
	for _, c := range result.refusals {
		s.Refusals[fmt.Sprintf("%d %s", c, c.Info().Name)]++
	}
	if result.fault != "" {
		r.fault(kind + ": " + result.fault)
	}
	if result.key != "" {
		r.Orders = append(r.Orders, orderOutcome{Key: result.key, Outcome: result.outcome})
	}
	s.Tokens += result.tokens
	if result.tokens > 0 {
		recordDuration(s.firstToken, result.firstToken)
	}
	for _, gap := range result.gaps {
		recordDuration(s.betweenTokens, gap)
	}
	if result.outcome == outcomeComplete {
		recordDuration(s.wholeAnswer, result.duration)
		u := result.usage
		s.PromptTokens += u.PromptTokens
		s.CachedTokens += u.CachedTokens
		s.ComputedTokens += u.ComputedTokens
		if u.CachedTokens+u.ComputedTokens > u.PromptTokens {
			s.RecomputedTokens += u.ComputedTokens
		}
	}
	s.FirstTokenMs, s.BetweenTokensMs, s.AnswerMs = percentiles(s.firstToken), percentiles(s.betweenTokens), percentiles(s.wholeAnswer)
}

func (r *report) fault(text string) {
	if len(r.Faults) < maxFaults {
		r.Faults = append(r.Faults, text)
	}
}

// hasViolations reports whether a wrong answer, a lost request or a contradicting execution
// violates a promise of the system.
func (r *report) hasViolations() bool {
	for _, s := range r.Kinds {
		if s.Outcomes[outcomeWrong] > 0 || s.Outcomes[outcomeLost] > 0 {
			return true
		}
	}
	return r.Executions != nil && r.Executions.hasViolations()
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the histogram's range, so RecordValue can't fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicroseconds))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(p float64) float64 { return float64(h.ValueAtPercentile(p)) / 1000 }
	return Percentiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

func (r *report) writeText(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(format string, arguments ...any) { _, _ = fmt.Fprintf(table, format+"\t\n", arguments...) }
	names := []string{"kind", "sent"}
	for _, o := range outcomes {
		names = append(names, strings.ToLower(string(o)))
	}
	line("%s\tretries\treconnects\trecomputed\tfirst p50\tp95\tbetween p50\tp95\tanswer p95", strings.Join(names, "\t"))
	for _, name := range slices.Sorted(maps.Keys(r.Kinds)) {
		s := r.Kinds[name]
		cells := fmt.Sprintf("%s\t%d", name, s.Sent)
		for _, o := range outcomes {
			cells += fmt.Sprintf("\t%d", s.Outcomes[o])
		}
		line("%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f", cells, s.Retries, s.Reconnects, s.RecomputedTokens,
			s.FirstTokenMs.P50, s.FirstTokenMs.P95, s.BetweenTokensMs.P50, s.BetweenTokensMs.P95, s.AnswerMs.P95)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintf(w, "shape %s, seed %d, rate %g/s, %.1f s; times in ms\n", r.Shape, r.Seed, r.Rate, r.Seconds)
	for _, name := range slices.Sorted(maps.Keys(r.Kinds)) {
		for _, code := range slices.Sorted(maps.Keys(r.Kinds[name].Refusals)) {
			_, _ = fmt.Fprintf(w, "refusals: %s %s %d\n", name, code, r.Kinds[name].Refusals[code])
		}
	}
	if r.Executions != nil {
		_, _ = fmt.Fprintf(w, "executions: %+v\n", *r.Executions)
	}
	for _, f := range r.Faults {
		_, _ = fmt.Fprintf(w, "fault: %s\n", f)
	}
}

func (r *report) writeJSON(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return eris.Wrap(err, "report")
	}
	return eris.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "report")
}
