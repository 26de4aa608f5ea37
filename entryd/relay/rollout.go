package relay

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/health"
	"lentilstage.dev/decide/shift"
	"lentilstage.dev/domain/setup"
	"lentilstage.dev/domain/value"
)

type (
	// rollout is a roll-out of a service with this daemon's counts of both versions' outcomes. verdict is
	// the last one that was published.
	rollout struct {
		order    Rollout
		position value.Position
		// superseded are the orders before this one. A log that is restored from a copy has one of them
		// again.
		superseded []supersededOrder
		state      shift.State
		good       int64
		bad        int64
		evidence   shift.Evidence
		// unanswered are the attempts without an answer at the endpoints that have given none since.
		unanswered map[endpointStart]*shift.Unanswered
		// laterGood and laterBad count this daemon's outcomes of the new version after its completion.
		laterGood, laterBad int64
		// laterLogged is set once bad outcomes after the completion were logged.
		laterLogged bool
		// verdictEra is the newest era of the log in which the verdict was written.
		verdict    shift.Status
		verdictEra int64
		// comparing reports whether endpoints of both versions served when a request was last placed.
		comparing bool
		// newEndpoints is the number of endpoints of the new version when a request was last placed, newShare their
		// share of all.
		newEndpoints int
		newShare     float64
		// loadRatio is that of shift.View at that time.
		loadRatio float64
		// logged are the outcomes of all daemons that were last logged, and loggedAt is when.
		logged   outcomes
		loggedAt time.Time
	}

	// endpointStart identifies a start of an endpoint.
	endpointStart struct {
		id        string
		startedAt int64
		isNew     bool
	}

	supersededOrder struct {
		order  Rollout
		offset int64
	}

	// rolloutEvidence is what is known of a roll-out, for the log.
	rolloutEvidence struct {
		service, target string
		fields          []any
	}
)

const (
	// evidenceInterval is the pause between two log lines with the outcomes of a roll-out.
	evidenceInterval = 2 * time.Second
	// maxUnanswered limits the endpoints whose attempts without an answer are kept.
	maxUnanswered = 256
	// callsPerVerdict is the number of calls to the log, each as long as the last append, for which time is left when a
	// verdict is due: the status takes two, which may take longer.
	callsPerVerdict = 4
	// maxSuperseded limits the former orders that are kept of a service.
	maxSuperseded = 16
)

// errLeaseLost reports that the lease ended before a call under it was made.
var errLeaseLost = errors.New("the lease has ended")

// applyRolloutRecord applies an operators' record that may order a roll-out.
func (d *Daemon) applyRolloutRecord(r Record) {
	order, err := d.codec.Rollout(r)
	if errors.Is(err, ErrOtherRecordKind) {
		return
	}
	if err != nil {
		d.logger.WithName("rollout").Info("Record invalid.", "Key", r.Key, "Offset", r.Offset, "Error", err.Error())
		return
	}
	if d.tables.startRollout(order, r, d.clock.now()) {
		d.logger.WithName("rollout").Info("Roll-out ordered.", "Service", order.Service, "Target", order.Target, "Length", order.TimeLimit)
	}
}

// startRollout starts a roll-out unless it or a newer one is known, and reports whether it did.
func (t *tables) startRollout(order Rollout, record Record, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	started := &rollout{
		order: order, position: record.Position(), state: shift.New(order.Target, now.Add(order.TimeLimit), now),
		unanswered: map[endpointStart]*shift.Unanswered{},
	}
	if known, ok := t.rollouts[order.Service]; ok {
		if known.order == order {
			known.position = value.Furthest(known.position, started.position)
			return false
		}
		former := supersededOrder{order: order, offset: record.Offset}
		if !known.position.Before(started.position) || record.Era > known.position.Era && slices.Contains(known.superseded, former) {
			return false
		}
		started.superseded = append(slices.Clone(known.superseded), supersededOrder{order: known.order, offset: known.position.Offset})
		if extra := len(started.superseded) - maxSuperseded; extra > 0 {
			started.superseded = started.superseded[extra:]
		}
	}
	t.records[Operators][record.Key] = record
	t.rollouts[order.Service] = started
	started.restoreEnd(t.rolloutEnds[order.Service], record.Era)
	return true
}

// outcomes returns this daemon's outcomes of the roll-out for its digest.
func (r *rollout) outcomes(now time.Time) outcomes {
	o := r.ownOutcomes()
	o.AgeMS, o.Stopped = r.state.Age(now).Milliseconds(), r.state.Stopped()
	if r.ended() {
		o.Ended, o.EndedEra = r.verdict, r.verdictEra
	}
	return o
}

// ownOutcomes returns what this daemon has seen of both versions.
func (r *rollout) ownOutcomes() outcomes {
	o := outcomes{Target: r.order.Target, Good: r.good, Bad: r.bad, Evidence: r.evidence}
	for e, u := range r.unanswered {
		switch {
		case u.Failures == 0:
			// The daemon's own time limits.
		case e.isNew:
			o.LostNew = o.LostNew.With(e.hash())
		default:
			o.LostOld = o.LostOld.With(e.hash())
		}
	}
	return o
}

func (e endpointStart) hash() uint32 { return shortID(e.id) ^ uint32(e.startedAt) }

// ended reports whether a final verdict was published.
func (r *rollout) ended() bool { return r.verdict == shift.Completed || r.verdict == shift.RolledBack }

// plus returns the combined outcomes of two daemons.
func (o outcomes) plus(other outcomes) outcomes {
	o.Target, o.Good, o.Bad = other.Target, o.Good+other.Good, o.Bad+other.Bad
	o.Evidence = o.Evidence.Plus(other.Evidence)
	o.LostNew, o.LostOld = o.LostNew.Union(other.LostNew), o.LostOld.Union(other.LostOld)
	o.AgeMS, o.Stopped = max(o.AgeMS, other.AgeMS), o.Stopped || other.Stopped
	if o.Ended == "" {
		o.Ended = other.Ended
	}
	o.EndedEra = max(o.EndedEra, other.EndedEra)
	return o
}

// filterByVersion returns the candidates with the version that a request to a service in a roll-out
// goes to. If only one version is left, the roll-out has ended. Of the new version they are those that take requests,
// as long as there are some, and in the load test only its group.
func (t *tables) filterByVersion(service string, candidates []choice.Candidate, closed map[string]bool, random float64, now time.Time) []choice.Candidate {
	r, ok := t.rollouts[service]
	if !ok {
		return candidates
	}
	var updated, old []choice.Candidate
	view := shift.View{Daemons: t.daemons, Random: random}
	for _, c := range candidates {
		view.Load += c.Load.Requests
		if c.Version == r.state.Target {
			updated = append(updated, c)
		} else {
			view.OldLoad += c.Load.Requests
			old = append(old, c)
		}
	}
	r.comparing = len(old) > 0 && len(updated) > 0 && !r.state.Stopped()
	if len(old) == 0 {
		return updated
	}
	open := slices.DeleteFunc(slices.Clone(updated), func(c choice.Candidate) bool { return closed[c.ID] })
	if len(open) == 0 {
		open = updated
	}
	view.New, view.Old = len(open), len(old)
	r.newEndpoints, r.loadRatio = view.New, view.LoadRatio()
	r.newShare = float64(view.New) / float64(view.New+view.Old)
	group := r.group(open, now)
	for _, c := range group {
		view.GroupLoad += c.Load.Requests
	}
	var toNew bool
	if r.state, toNew = r.state.Route(view, now); toNew && len(group) > 0 {
		return group
	}
	return old
}

// group returns the candidates of the new version that get requests now.
func (r *rollout) group(open []choice.Candidate, now time.Time) []choice.Candidate {
	if !r.state.TestsLoad(len(open), now) {
		return open
	}
	slices.SortFunc(open, func(a, b choice.Candidate) int { return strings.Compare(a.ID, b.ID) })
	first, count := r.state.Group(len(open), now)
	group := make([]choice.Candidate, 0, count)
	for i := range count {
		group = append(group, open[(first+i)%len(open)])
	}
	return group
}

// addTrial counts a trial of this daemon while both versions serve: answers of one version alone came under
// another load.
func (r *rollout) addTrial(property shift.Property, isNew, bad bool, now time.Time) {
	r.addTrials(property, shift.Tally{}.With(isNew, bad), now)
}

// addTrials counts trials as addTrial does, each with the load test or the time before it.
func (r *rollout) addTrials(property shift.Property, trials shift.Tally, now time.Time) {
	if r.comparing {
		r.evidence = r.evidence.With(property, r.state.TestsLoad(r.newEndpoints, now), trials)
	}
}

// start identifies the present start of an endpoint.
func (r *rollout) start(e setup.Endpoint) endpointStart {
	return endpointStart{id: e.ID, startedAt: e.StartedAtMS, isNew: e.Version == r.state.Target}
}

// countUnanswered keeps an attempt that ended without an answer until its endpoint gives one again. If it crashes or
// falls silent, it does so for all that it runs, and the endpoint counts as lost.
func (r *rollout) countUnanswered(e setup.Endpoint, more shift.Unanswered) {
	known := r.unanswered[r.start(e)]
	if !r.comparing || known == nil && len(r.unanswered) >= maxUnanswered {
		return
	}
	if known == nil {
		known = &shift.Unanswered{}
		r.unanswered[r.start(e)] = known
	}
	known.Failures += more.Failures
	known.First += more.First
}

// countAnswered counts the attempts that ended without an answer at an endpoint that answers now: it was sound, so that
// each of them was a failure of its own.
func (r *rollout) countAnswered(e setup.Endpoint, now time.Time) {
	start := r.start(e)
	u := r.unanswered[start]
	if u == nil {
		return
	}
	delete(r.unanswered, start)
	for property, count := range map[shift.Property]int64{shift.Failing: u.Failures, shift.SlowFirst: u.First} {
		if start.isNew {
			r.addTrials(property, shift.Tally{New: count, NewBad: count}, now)
		} else {
			r.addTrials(property, shift.Tally{Old: count, OldBad: count}, now)
		}
	}
	if start.isNew {
		r.bad += u.Failures
	}
}

// countRolloutResponse counts an outcome of a version in a roll-out.
func (t *tables) countRolloutResponse(endpoint setup.Endpoint, kind health.OutcomeKind, now time.Time) {
	r, ok := t.rollouts[endpoint.Service]
	if !ok || kind == health.Overtaken {
		return
	}
	if r.ended() {
		r.countLater(endpoint, kind)
		return
	}
	isNew, good := endpoint.Version == r.state.Target, kind == health.Succeeded
	if kind == health.TimedOut && r.state.TestsLoad(r.newEndpoints, now) {
		// The versions have different loads, which the comparison of times allows for.
		return
	}
	if !good && kind != health.Failed {
		r.countUnanswered(endpoint, shift.Unanswered{Failures: 1})
		t.mergeOutcomes(r, now)
		return
	}
	r.countAnswered(endpoint, now)
	r.addTrial(shift.Failing, isNew, !good, now)
	switch {
	case isNew && good:
		r.good++
	case isNew:
		r.bad++
	}
	t.mergeOutcomes(r, now)
}

// countLater counts an outcome after the end of the roll-out.
func (r *rollout) countLater(endpoint setup.Endpoint, kind health.OutcomeKind) {
	switch {
	case r.verdict != shift.Completed || endpoint.Version != r.state.Target:
	case kind == health.Succeeded:
		r.laterGood++
	default:
		r.laterBad++
	}
}

// failingCompleted returns the roll-outs whose version fails after its completion, each once. The platform has stopped
// the old endpoints by then, so that only the operators can bring them back.
func (t *tables) failingCompleted() []rolloutEvidence {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var failing []rolloutEvidence
	for service, r := range t.rollouts {
		if r.laterLogged || !shift.Fails(r.laterGood, r.laterBad) {
			continue
		}
		r.laterLogged = true
		failing = append(failing, rolloutEvidence{
			service: service, target: r.order.Target, fields: []any{"OwnGood", r.laterGood, "OwnBad", r.laterBad},
		})
	}
	return failing
}

// allOutcomes returns the outcomes of all daemons.
func (t *tables) allOutcomes(r *rollout) outcomes {
	sum := r.ownOutcomes()
	for p := range t.reporters() {
		if o, ok := p.outcomes[r.order.Service]; ok && o.Target == r.order.Target {
			sum = sum.plus(o)
		}
	}
	return sum
}

// mergeOutcomes updates the roll-out with the outcomes of all daemons. It adopts a final verdict that
// another daemon has published, so that a new lease holder does not publish a different one.
func (t *tables) mergeOutcomes(r *rollout, now time.Time) {
	sum := t.allOutcomes(r)
	r.state = r.state.WithOutcomes(sum.Good, sum.Bad).WithEvidence(sum.Evidence).WithLost(sum.LostNew, sum.LostOld, r.newShare).
		WithAge(time.Duration(sum.AgeMS)*time.Millisecond, now)
	if sum.Stopped {
		r.state = r.state.Stop()
	}
	if sum.Ended != "" && !r.ended() {
		r.setVerdict(sum.Ended, sum.EndedEra)
	}
	r.verdictEra = max(r.verdictEra, sum.EndedEra)
}

// setVerdict records a verdict that was published in an era of the log.
func (r *rollout) setVerdict(v shift.Status, era int64) {
	r.verdict, r.verdictEra = v, era
	if v == shift.RolledBack {
		r.state = r.state.Stop()
	}
}

// pendingVerdicts returns the roll-outs with a verdict that is not published yet in the present era of the
// log. A verdict that was published before may be lost since; a final one never changes.
func (t *tables) pendingVerdicts(era int64, writeTime time.Duration, now time.Time) map[Rollout]shift.Status {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	changed := map[Rollout]shift.Status{}
	for _, r := range t.rollouts {
		t.mergeOutcomes(r, now)
		v := r.state.Status(now, writeTime)
		if r.ended() {
			v = r.verdict
		}
		if v != r.verdict || r.verdictEra < era {
			changed[r.order] = v
		}
	}
	return changed
}

// publishRollouts writes the verdicts for the operators. Only the lease holder calls it.
func (l *leader) publishRollouts(ctx context.Context) {
	d := l.daemon
	for order, verdict := range d.tables.pendingVerdicts(d.era.Load(), callsPerVerdict*l.appendTime, d.clock.now()) {
		key, encoded, err := d.codec.RolloutStatus(order, verdict)
		if err != nil {
			l.log("Status can't be encoded.", "Service", order.Service, "Error", err.Error())
			continue
		}
		end, err := l.writeStatus(ctx, key, encoded)
		if err != nil {
			l.log("Writing the status failed.", "Service", order.Service, "Verdict", verdict, "Error", err.Error())
			continue
		}
		d.observeEra(end.Era, "")
		d.tables.markPublished(order, verdict, end.Era)
		l.log("Status written.", append([]any{"Service", order.Service, "Target", order.Target, "Verdict", verdict}, d.tables.evidenceFields(order.Service)...)...)
	}
}

// writeStatus writes a status and returns the new end of its stream. The log may take up an append seconds after it was
// given up: its condition fails once a later holder has written a status.
func (l *leader) writeStatus(ctx context.Context, key string, encoded []byte) (value.Position, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := l.daemon.store.Newest(call, Status)
	if err != nil {
		return value.Position{}, err
	}
	call, cancel, fence := l.call(ctx)
	defer cancel()
	if fence == 0 {
		return value.Position{}, errLeaseLost
	}
	return l.daemon.store.Append(call, Status, page.End.Offset, key, encoded)
}

// evidenceFields returns the fields of a log line with the outcomes of a service's roll-out, the own ones
// and those of all daemons.
func (t *tables) evidenceFields(service string) []any {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r, ok := t.rollouts[service]
	if !ok {
		return nil
	}
	return r.fields(t.allOutcomes(r))
}

func (r *rollout) fields(sum outcomes) []any {
	strength, property := sum.Evidence.Strength()
	e := sum.Evidence
	return []any{
		"Good", sum.Good, "Bad", sum.Bad, "OwnGood", r.good, "OwnBad", r.bad, "Stopped", r.state.Stopped(),
		"Failures", e.Failures.String(), "SlowFirst", e.First.String(), "SlowPace", e.Pace.String(),
		"LoadedFailures", e.Loaded.Failures.String(), "LoadedFirst", e.Loaded.First.String(), "LoadedPace", e.Loaded.Pace.String(),
		"LostNew", sum.LostNew.Count(), "LostOld", sum.LostOld.Count(), "Strength", strength, "Property", property,
	}
}

// changedEvidence returns the roll-outs whose outcomes have changed since they were last logged.
func (t *tables) changedEvidence(now time.Time) []rolloutEvidence {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var changed []rolloutEvidence
	for service, r := range t.rollouts {
		sum := t.allOutcomes(r)
		sum.Target, sum.AgeMS, sum.Stopped = "", 0, r.state.Stopped()
		if r.ended() || sum == r.logged || now.Sub(r.loggedAt) < evidenceInterval && sum.Stopped == r.logged.Stopped {
			continue
		}
		r.logged, r.loggedAt = sum, now
		changed = append(changed, rolloutEvidence{service: service, target: r.order.Target, fields: r.fields(sum)})
	}
	return changed
}

// logRollouts logs the outcomes on which the verdicts of roll-outs depend.
func (d *Daemon) logRollouts() {
	for _, e := range d.tables.changedEvidence(d.clock.now()) {
		d.logger.WithName("rollout").Info("Roll-out evidence.", append([]any{"Service", e.service, "Target", e.target}, e.fields...)...)
	}
	for _, e := range d.tables.failingCompleted() {
		d.meters.count("Rollouts.FailingAfterCompletion")
		d.logger.WithName("rollout").Info("Completed version fails.", append([]any{"Service", e.service, "Target", e.target}, e.fields...)...)
	}
}

// hasRollouts reports whether a roll-out has no final verdict that was published in the present era of the log.
func (t *tables) hasRollouts(era int64) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, r := range t.rollouts {
		if !r.ended() || r.verdictEra < era {
			return true
		}
	}
	return false
}

// markPublished records a verdict that this daemon has published in an era of the log.
func (t *tables) markPublished(order Rollout, v shift.Status, era int64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if r, ok := t.rollouts[order.Service]; ok && r.order == order {
		r.setVerdict(v, era)
	}
}
