package entry

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lentilstage.dev/decide/moves"
	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

type (
	// rollouts is this daemon's part of the version moves: its evidence, the shares that it serves
	// and the steps that it proposes.
	rollouts struct {
		base    *Base
		logger  logr.Logger
		control *control
		members *members

		mu sync.Mutex
		// own are this daemon's counters. They only increase.
		own         map[evidenceKey]wire.Evidence
		allEvidence moves.EvidenceStore
		// shares are the local shares decided for each move, alarms the reasons why a move was
		// stopped.
		shares map[string]float64
		alarms map[string]string
		// due is when a step of a move became due. proposing marks moves with an append in
		// progress.
		due       map[stepKey]time.Time
		proposing map[string]bool
		rates     map[string]*rate
	}

	// evidenceKey identifies one evidence counter.
	evidenceKey struct {
		move    string
		version string
		step    int
		share   float64
	}

	stepKey struct {
		move string
		step int
	}

	// rate estimates a route's requests per second from one-second counts.
	rate struct {
		count     int
		perSecond float64
	}

	// evidencePlace is the step and share under which an attempt was routed and counts as evidence.
	// An attempt outside of a split has no move.
	evidencePlace struct {
		Move  string
		Route string
		Step  int
		Share float64
	}

	// attemptResult is how an attempt counts as evidence.
	attemptResult struct {
		Failed      bool
		SlowFirst   bool
		SlowGaps    bool
		Reclaimed   bool
		Interrupted bool
	}
)

const (
	// moveInterval is the pause between decisions on version moves.
	moveInterval = time.Second
	// proposeTimeout bounds the append of a step.
	proposeTimeout = 10 * time.Second
	// rateWeight is the weight of the latest second in a route's request rate.
	rateWeight = 0.1
	// alarmVersion and alarmQuarantine are the kinds of alarms.
	alarmVersion    = "Version"
	alarmQuarantine = "Quarantine"
)

func newRollouts(b *Base, c *control, m *members) *rollouts {
	return &rollouts{
		base: b, logger: b.Logger.WithName("moves"), control: c, members: m,
		own: make(map[evidenceKey]wire.Evidence), shares: make(map[string]float64),
		alarms: make(map[string]string), due: make(map[stepKey]time.Time),
		proposing: make(map[string]bool), rates: make(map[string]*rate),
	}
}

// run makes the decisions on version moves until the context ends.
func (r *rollouts) run(ctx context.Context) error {
	return runEvery(ctx, moveInterval, func() { r.decideAll(ctx) })
}

// countRequest counts a request of the route for its rate.
func (r *rollouts) countRequest(route string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rates[route] == nil {
		r.rates[route] = &rate{}
	}
	r.rates[route].count++
}

// split returns the shares of a route's traffic that this daemon sends to each version, and the
// place at which an attempt under them counts as evidence.
func (r *rollouts) split(state table.State, row table.Route) ([]table.WeightedVersion, evidencePlace) {
	now := r.base.Now()
	move, moving := state.MoveOf(row)
	if !moving || move.State != table.Moving || !now.Before(row.MoveDeadline) {
		return state.Split(row, now), evidencePlace{}
	}
	r.mu.Lock()
	share, decided := r.shares[move.Move]
	r.mu.Unlock()
	if !decided || share > move.Share {
		share = move.Share
	}
	if share <= 0 || share >= 1 {
		return row.SplitAt(share), evidencePlace{}
	}
	return row.SplitAt(share), evidencePlace{Move: move.Move, Route: row.Name, Step: move.Step, Share: share}
}

// recordAttempt records the end of an attempt as evidence.
func (r *rollouts) recordAttempt(at evidencePlace, version string, result attemptResult) {
	if at.Move == "" {
		return
	}
	r.updateEvidence(at, version, func(e *wire.Evidence) {
		switch {
		case result.Reclaimed:
			e.Excluded++
			return
		case result.Interrupted:
			e.Excluded++
			e.Interrupted++
			return
		}
		e.Requests++
		e.Failures += boolToInt(result.Failed)
		e.SlowFirst += boolToInt(result.SlowFirst)
		e.SlowGaps += boolToInt(result.SlowGaps)
		e.Slow += boolToInt(result.SlowFirst || result.SlowGaps)
	})
}

// recordCrash records a crash of an endpoint as evidence, attributed either to the version or to a
// request.
func (r *rollouts) recordCrash(at evidencePlace, version string, byRequest, charged bool) {
	if at.Move == "" {
		return
	}
	r.updateEvidence(at, version, func(e *wire.Evidence) {
		if !byRequest {
			e.Requests++
			e.Failures++
			return
		}
		e.Excluded++
		e.RequestCrashes++
		e.Excused += boolToInt(charged)
	})
}

func (r *rollouts) updateEvidence(at evidencePlace, version string, change func(*wire.Evidence)) {
	key := evidenceKey{move: at.Move, version: version, step: at.Step, share: at.Share}
	r.mu.Lock()
	defer r.mu.Unlock()
	counter, known := r.own[key]
	if !known {
		counter = wire.Evidence{Move: at.Move, Route: at.Route, Version: version, Step: at.Step, Share: at.Share}
	}
	change(&counter)
	r.own[key] = counter
}

func boolToInt(yes bool) int64 {
	if yes {
		return 1
	}
	return 0
}

// evidence returns this daemon's counters for its digest.
func (r *rollouts) evidence() []wire.Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := slices.Collect(maps.Values(r.own))
	slices.SortFunc(all, func(a, b wire.Evidence) int {
		return cmp.Or(cmp.Compare(a.Move, b.Move), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Share, b.Share))
	})
	return all
}

// mergeEvidence merges the evidence of a daemon's entry.
func (r *rollouts) mergeEvidence(entry wire.DigestEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allEvidence = r.allEvidence.With(entry)
}

// stopMove applies a peer's finding that the version of a move is bad.
func (r *rollouts) stopMove(move, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.alarms[move] == "" {
		r.alarms[move] = reason
		r.shares[move] = 0
	}
}

// decideAll decides on all version moves of the table.
func (r *rollouts) decideAll(ctx context.Context) {
	state := r.control.State()
	var active []string
	for _, row := range state.Routes {
		move, moving := state.MoveOf(row)
		if !moving {
			continue
		}
		active = append(active, move.Move)
		r.decide(ctx, row, move)
	}
	r.pruneMoves(active)
}

// pruneMoves removes the state of moves that are no longer in the table, and updates the request
// rates with the counts of the last second.
func (r *rollouts) pruneMoves(active []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allEvidence = r.allEvidence.RetainMoves(active...)
	inactive := func(move string) bool { return !slices.Contains(active, move) }
	maps.DeleteFunc(r.own, func(k evidenceKey, _ wire.Evidence) bool { return inactive(k.move) })
	maps.DeleteFunc(r.shares, func(m string, _ float64) bool { return inactive(m) })
	maps.DeleteFunc(r.alarms, func(m, _ string) bool { return inactive(m) })
	maps.DeleteFunc(r.due, func(d stepKey, _ time.Time) bool { return inactive(d.move) })
	for _, t := range r.rates {
		t.perSecond += rateWeight * (float64(t.count) - t.perSecond)
		t.count = 0
	}
}

// deadlineWarnings returns a warning for each version move that cannot finish by its deadline at
// the current traffic.
func (r *rollouts) deadlineWarnings(edits []table.Edit) []string {
	var found []string
	now := r.base.Now()
	for _, e := range edits {
		if e.Route == nil || e.Route.MoveTo == "" {
			continue
		}
		traffic := r.rateOf(e.Route.Name)
		estimate := moves.EstimateMove(*e.Route, traffic, moves.Counts{}, now)
		if estimate.Feasible {
			continue
		}
		expected := "it is not expected to finish"
		if !estimate.FinishTime.IsZero() {
			expected = "it is expected to finish at " + estimate.FinishTime.UTC().Format(time.RFC3339)
		}
		found = append(found, fmt.Sprintf(
			"route %s: the move to %s can't finish by its deadline at %.2f requests a second; %s and is taken back at the deadline",
			e.Route.Name, e.Route.MoveTo, traffic, expected))
	}
	return found
}

// rateOf estimates a route's requests per second over all daemons. The balancer spreads requests
// evenly, so this daemon's rate is multiplied by the number of daemons.
func (r *rollouts) rateOf(route string) float64 {
	daemons := len(r.members.centres())
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, ok := r.rates[route]; ok {
		return t.perSecond * float64(daemons)
	}
	return 0
}

// decide makes the decision on one move and applies it.
func (r *rollouts) decide(ctx context.Context, row table.Route, move table.MoveState) {
	now := r.base.Now()
	traffic := r.rateOf(row.Name)
	r.mu.Lock()
	decision := moves.Decide(moves.View{
		Move: move, Route: row, Evidence: r.allEvidence.Evidence(move.Move, row.MoveTo),
		Rate: traffic, Alarm: r.alarms[move.Move], Now: now,
	})
	r.shares[move.Move] = decision.LocalShare
	stopped := decision.Stop && r.alarms[move.Move] == ""
	if stopped {
		r.alarms[move.Move] = decision.Reason
	}
	r.mu.Unlock()
	if stopped {
		r.raiseAlarm(row, move, decision)
	}
	if step, due := decision.Step.Get(); due {
		r.proposeStep(ctx, move, step, decision, now)
	}
}

// raiseAlarm reports to the peers that the version of a move is bad.
func (r *rollouts) raiseAlarm(row table.Route, move table.MoveState, decision moves.Decision) {
	r.logger.Info("Stopped a version move.", "move", move.Move, "reason", decision.Reason)
	r.base.emit(event.Event{
		Kind: "VersionStopped", Route: row.Name, Version: row.MoveTo, Request: move.Move,
		Reason: decision.Reason, Numbers: decision.Numbers,
	})
	r.members.raiseAlarm(wire.Alarm{Kind: alarmVersion, Subject: move.Move, Reason: decision.Reason, Deadline: row.MoveDeadline.Add(time.Minute)})
}

// proposeStep appends a due step once it is this daemon's turn.
func (r *rollouts) proposeStep(ctx context.Context, move table.MoveState, step table.MoveStep, decision moves.Decision, now time.Time) {
	key := stepKey{move: move.Move, step: move.Step}
	r.mu.Lock()
	since, known := r.due[key]
	if !known {
		since = now
		r.due[key] = now
	}
	busy := r.proposing[move.Move]
	r.mu.Unlock()
	daemons := slices.Sorted(maps.Keys(r.members.centres()))
	if busy || now.Before(moves.ProposalTime(since, move, r.base.Settings.Name, daemons)) || ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	r.proposing[move.Move] = true
	r.mu.Unlock()
	go r.appendStep(step, decision)
}

// appendStep appends a step and emits its outcome.
func (r *rollouts) appendStep(step table.MoveStep, decision moves.Decision) {
	defer func() {
		r.mu.Lock()
		delete(r.proposing, step.Move)
		r.mu.Unlock()
	}()
	outcome, err := r.control.append(table.Record{Kind: table.StepRecord, Step: &step}, r.base.Now().Add(proposeTimeout))
	reason := decision.Reason
	if err != nil {
		reason = "the step could not be recorded: " + err.Error()
	}
	r.base.emit(event.Event{
		Kind: "MoveStep", Route: step.Route, Version: step.Version, Request: step.Move, Reason: reason,
		Numbers: append(decision.Numbers,
			event.Number{Name: "Share", Value: step.Share}, event.Number{Name: "Applied", Value: boolToFloat(outcome.Applied)}),
	})
	r.logger.Info("Proposed a move step.", "move", step.Move, "state", step.State, "share", step.Share, "applied", outcome.Applied, "reason", reason)
}
