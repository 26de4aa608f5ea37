package relay

import (
	"context"
	"errors"
	"time"

	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/health"
	"lentilstage.dev/decide/shift"
	"lentilstage.dev/domain/setup"
)

// rollout is a roll-out of a service with this daemon's count of the new version's answers.
type rollout struct {
	order  Rollout
	offset int64
	state  shift.State
	good   int64
	bad    int64
	told   shift.Verdict
}

// takeRollout takes in a record of the operators that may order a roll-out.
func (d *Daemon) takeRollout(r Record) {
	order, err := d.codec.Rollout(r)
	if errors.Is(err, ErrOtherRecord) {
		return
	}
	if err != nil {
		d.logger.WithName("rollout").Info("Record can't be used.", "Key", r.Key, "Offset", r.Offset, "Error", err.Error())
		return
	}
	if d.tables.rollOut(order, r, d.clock.now()) {
		d.logger.WithName("rollout").Info("Roll-out ordered.", "Service", order.Service, "Target", order.Target, "Length", order.Length)
	}
}

// rollOut begins a roll-out unless it or a newer one is known, and reports whether it is new.
func (t *tables) rollOut(order Rollout, record Record, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known, ok := t.rollouts[order.Service]; ok && (known.order == order || record.Offset <= known.offset) {
		return false
	}
	t.raw[Operators][record.Key] = record
	t.rollouts[order.Service] = &rollout{
		order: order, offset: record.Offset, state: shift.New(order.Target, now.Add(order.Length), now),
	}
	return true
}

// outcomes returns what this daemon tells of the roll-out.
func (r *rollout) outcomes(now time.Time) outcomes {
	o := outcomes{
		Target: r.order.Target, Good: r.good, Bad: r.bad, AgeMS: r.state.Age(now).Milliseconds(), Stopped: r.state.Stopped(),
	}
	if r.ended() {
		o.Ended = r.told
	}
	return o
}

// ended reports whether a final verdict was told.
func (r *rollout) ended() bool { return r.told == shift.Completed || r.told == shift.RolledBack }

// plus returns the outcomes of two daemons together.
func (o outcomes) plus(other outcomes) outcomes {
	o.Target, o.Good, o.Bad = other.Target, o.Good+other.Good, o.Bad+other.Bad
	o.AgeMS, o.Stopped = max(o.AgeMS, other.AgeMS), o.Stopped || other.Stopped
	if o.Ended == "" {
		o.Ended = other.Ended
	}
	return o
}

// byVersion returns the candidates of the version that a request of a service in a roll-out
// goes to. Where only one version is left, the roll-out has ended.
func (t *tables) byVersion(service string, candidates []choice.Candidate, random float64) []choice.Candidate {
	r, ok := t.rollouts[service]
	if !ok {
		return candidates
	}
	var fresh, old []choice.Candidate
	for _, c := range candidates {
		if c.Version == r.state.Target {
			fresh = append(fresh, c)
		} else {
			old = append(old, c)
		}
	}
	if len(old) == 0 || len(fresh) > 0 && r.state.ToNew(random) {
		return fresh
	}
	return old
}

// count counts an answer of a version in a roll-out.
func (t *tables) count(endpoint setup.Endpoint, kind health.OutcomeKind, now time.Time) {
	r, ok := t.rollouts[endpoint.Service]
	if !ok || endpoint.Version != r.state.Target {
		return
	}
	if kind == health.Succeeded {
		r.good++
	} else {
		r.bad++
	}
	t.sumOutcomes(r, now)
}

// sumOutcomes gives the roll-out what all daemons have told. A verdict that another daemon has
// told is this one's too, so that a new holder of the duty does not tell another.
func (t *tables) sumOutcomes(r *rollout, now time.Time) {
	sum := outcomes{Target: r.order.Target, Good: r.good, Bad: r.bad}
	for p := range t.tellers() {
		if o, ok := p.outcomes[r.order.Service]; ok && o.Target == r.order.Target {
			sum = sum.plus(o)
		}
	}
	r.state = r.state.WithOutcomes(sum.Good, sum.Bad).WithAge(time.Duration(sum.AgeMS)*time.Millisecond, now)
	if sum.Stopped {
		r.state = r.state.Stop()
	}
	if sum.Ended != "" && !r.ended() {
		r.tell(sum.Ended)
	}
}

// tell notes a verdict that the operators can read.
func (r *rollout) tell(v shift.Verdict) {
	r.told = v
	if v == shift.RolledBack {
		r.state = r.state.Stop()
	}
}

// verdicts returns the roll-outs whose verdict was not told yet.
func (t *tables) verdicts(now time.Time) map[Rollout]shift.Verdict {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	changed := map[Rollout]shift.Verdict{}
	for _, r := range t.rollouts {
		t.sumOutcomes(r, now)
		if v := r.state.Verdict(now); v != r.told && !r.ended() {
			changed[r.order] = v
		}
	}
	return changed
}

// tellRollouts writes the verdicts for the operators. Only the holder of the duty does.
func (u *duty) tellRollouts(ctx context.Context) {
	d := u.daemon
	for order, verdict := range d.tables.verdicts(d.clock.now()) {
		key, value, err := d.codec.RolloutStatus(order, verdict)
		if err != nil {
			u.log("Status can't be encoded.", "Service", order.Service, "Error", err.Error())
			continue
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		_, err = d.store.Append(call, Status, AnyOffset, key, value)
		cancel()
		if err != nil {
			u.log("Status not written.", "Service", order.Service, "Verdict", verdict, "Error", err.Error())
			continue
		}
		d.tables.told(order, verdict)
		u.log("Status written.", "Service", order.Service, "Target", order.Target, "Verdict", verdict)
	}
}

// told notes a verdict that this daemon has written.
func (t *tables) told(order Rollout, v shift.Verdict) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if r, ok := t.rollouts[order.Service]; ok && r.order == order {
		r.tell(v)
	}
}
