// Package health tracks the health of endpoints by failures, slow answers and missing load reports.
//
// An unhealthy endpoint is avoided until a deadline and then probed with a few requests. At most a third
// of a route's endpoints is out of rotation (avoided or probing) at once. Further unhealthy endpoints are
// doubted: they remain candidates with a penalty on their predicted time. If most endpoints of a data
// centre fail together, their failures are attributed to the data centre and not to the versions there.
//
// # Usage
//
//	aggregate := health.New(health.DefaultSettings())
//	aggregate, commands := aggregate.Update(health.Listing{Time: now, Endpoints: members})
//	aggregate, commands = aggregate.Update(
//		health.Outcome{Time: now, Instance: "i-1", Kind: health.Unreachable})
//	for _, c := range commands { ... }
//
// Update changes the aggregate in place: use only the returned one afterwards.
package health

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"lentilstage.dev/domain/event"
)

type (
	// Settings are the thresholds and periods of the health checks.
	Settings struct {
		// HalfLife is the time in which an outcome's weight halves.
		HalfLife time.Duration
		// ConsecutiveFailures is the number of failures without a success that make an endpoint unhealthy.
		ConsecutiveFailures int
		// FailureFraction and SlowFraction are the fractions of failed and of slow outcomes, by weight, that
		// make an endpoint unhealthy.
		FailureFraction float64
		SlowFraction    float64
		// MinOutcomes is the total weight of outcomes below which the fractions are ignored.
		MinOutcomes float64
		// SlowFactor and SlowGrace define a slow answer: it takes longer than SlowFactor times the
		// predicted time plus SlowGrace.
		SlowFactor float64
		SlowGrace  time.Duration
		// SilentAfter is the time without a load report or answer after which an endpoint is silent.
		SilentAfter time.Duration
		// FirstAvoidance is the first period of avoidance. It doubles with each failed probe up to
		// MaxAvoidance.
		FirstAvoidance time.Duration
		MaxAvoidance   time.Duration
		// Probes is the number of probe requests that must succeed. Probes without an outcome are allowed
		// again after ProbeWait.
		Probes    int
		ProbeWait time.Duration
		// Penalty is added to the predicted time of a doubted endpoint.
		Penalty time.Duration
		// AttributionDelay is the time before an unreachable or timed-out attempt is attributed. It is longer
		// than SilentAfter, so that the loss of a data centre is detected by then.
		AttributionDelay time.Duration
	}

	// Aggregate is the health state of all endpoints.
	Aggregate struct {
		settings  Settings
		endpoints map[string]*endpoint
		centres   map[string]*centreState
		pending   map[failureKey][]pendingFailures
	}

	// endpoint is the state of one endpoint. total, failed and slow are the decayed weights of its
	// outcomes as of lastOutcome. unreachable is the time of the last unreachable or timed-out attempt.
	endpoint struct {
		Member
		status         Status
		lastCause      Cause
		total          float64
		failed         float64
		slow           float64
		lastOutcome    time.Time
		consecutive    int
		lastSeen       time.Time
		unreachable    time.Time
		avoidances     int
		probeSuccesses int
		probesUntil    time.Time
		routeCounts    []*routeCount
	}

	// routeCount counts the endpoints of a route, and those of them that are out of rotation.
	routeCount struct {
		listed        int
		outOfRotation int
	}

	// centreState says whether a data centre is lost, and when it was last found to be.
	centreState struct {
		lost   bool
		lostAt time.Time
	}

	// failureKey identifies what a pending failure may be attributed to.
	failureKey struct {
		instance, dataCentre, route, version string
	}

	// pendingFailures counts the failures within one second that are not attributed yet.
	pendingFailures struct {
		at    time.Time
		count int
	}
)

// DefaultSettings returns the settings that daemons use.
func DefaultSettings() Settings {
	return Settings{
		HalfLife:            10 * time.Second,
		ConsecutiveFailures: 3,
		FailureFraction:     0.5,
		SlowFraction:        0.6,
		MinOutcomes:         5,
		SlowFactor:          3,
		SlowGrace:           200 * time.Millisecond,
		SilentAfter:         5 * time.Second,
		FirstAvoidance:      5 * time.Second,
		MaxAvoidance:        time.Minute,
		Probes:              3,
		ProbeWait:           30 * time.Second,
		Penalty:             time.Second,
		AttributionDelay:    6 * time.Second,
	}
}

// New returns an aggregate without endpoints.
func New(settings Settings) Aggregate {
	return Aggregate{
		settings:  settings,
		endpoints: map[string]*endpoint{},
		centres:   map[string]*centreState{},
		pending:   map[failureKey][]pendingFailures{},
	}
}

// Status returns the status of an endpoint. An unknown endpoint is healthy.
func (a Aggregate) Status(instance string) Status {
	if e, ok := a.endpoints[instance]; ok {
		return e.status
	}
	return Status{State: Healthy}
}

// Lost reports whether the data centre is currently lost.
func (a Aggregate) Lost(dataCentre string) bool {
	c, ok := a.centres[dataCentre]
	return ok && c.lost
}

// Update applies the message and returns the aggregate with the resulting commands.
func (a Aggregate) Update(message Message) (Aggregate, []Command) {
	now := message.when()
	var commands []Command
	switch m := message.(type) {
	case Listing:
		commands = a.applyListing(m)
	case Heartbeat:
		if e, ok := a.endpoints[m.Instance]; ok {
			e.lastSeen = now
		}
	case Sent:
		if e, ok := a.endpoints[m.Instance]; ok && e.status.State == Probing && e.status.Probes > 0 {
			status := e.status
			status.Probes--
			commands = e.setStatus(status, e.lastCause)
		}
	case Outcome:
		commands = a.applyOutcome(m)
	case Tick:
		commands = append(a.detectLostCentres(now), a.attributeFailures(now)...)
		for _, e := range a.sortedEndpoints() {
			commands = append(commands, a.evaluate(e, now)...)
		}
	}
	return a, commands
}

// applyListing replaces the list of live endpoints. If the list shrinks, endpoints out of rotation beyond
// the bound become doubted, the least severe first.
func (a Aggregate) applyListing(m Listing) []Command {
	live := make(map[string]bool, len(m.Endpoints))
	for _, member := range m.Endpoints {
		live[member.Instance] = true
		e, ok := a.endpoints[member.Instance]
		if !ok || e.Incarnation != member.Incarnation {
			// What an earlier process did says nothing about this one.
			e = &endpoint{lastSeen: m.Time, lastOutcome: m.Time, status: Status{State: Healthy}}
			a.endpoints[member.Instance] = e
		}
		e.Member = member
	}
	maps.DeleteFunc(a.endpoints, func(instance string, _ *endpoint) bool { return !live[instance] })
	routeCounts := map[string]*routeCount{}
	for _, e := range a.endpoints {
		e.routeCounts = nil
		for _, r := range e.Routes {
			if routeCounts[r] == nil {
				routeCounts[r] = &routeCount{}
			}
			routeCounts[r].listed++
			e.routeCounts = append(e.routeCounts, routeCounts[r])
		}
		e.adjustRouteCounts(e.isOutOfRotation(), 1)
	}
	var commands []Command
	avoided := slices.DeleteFunc(a.sortedEndpoints(), func(e *endpoint) bool { return !e.isOutOfRotation() })
	slices.SortStableFunc(avoided, func(x, y *endpoint) int { return cmp.Compare(x.severity(), y.severity()) })
	for _, e := range avoided {
		if !a.withinBound(e, 0) {
			commands = append(commands, e.setStatus(Status{State: Doubted, Penalty: a.settings.Penalty}, BoundReached)...)
		}
	}
	return commands
}

// applyOutcome adds an outcome to its endpoint's counts and evaluates the endpoint.
func (a Aggregate) applyOutcome(m Outcome) []Command {
	e, ok := a.endpoints[m.Instance]
	if !ok {
		return nil
	}
	var commands []Command
	switch m.Kind {
	case Overtaken:
		if !a.isSlow(m) || e.status.State == Probing {
			return nil
		}
	case Failed:
		commands = append(commands, Attributed{Instance: m.Instance, Route: m.Route, Version: m.Version, Cause: ToVersion, Failures: 1})
	case Unreachable, TimedOut:
		a.deferAttribution(m, e.DataCentre)
		e.unreachable = m.Time
	}
	decay := math.Exp2(-max(0, m.Time.Sub(e.lastOutcome).Seconds()) / a.settings.HalfLife.Seconds())
	e.total, e.failed, e.slow, e.lastOutcome = e.total*decay+1, e.failed*decay, e.slow*decay, m.Time
	switch m.Kind {
	case TimedOut, Overtaken:
		e.slow++
	case Succeeded:
		e.consecutive = 0
		e.lastSeen = m.Time
		if a.isSlow(m) {
			e.slow++
		}
	default:
		e.failed++
		e.consecutive++
	}
	if e.status.State == Probing {
		return append(commands, a.applyProbeOutcome(e, m)...)
	}
	return append(commands, a.evaluate(e, m.Time)...)
}

// isSlow reports whether an outcome with a prediction took much longer than predicted.
func (a Aggregate) isSlow(m Outcome) bool {
	limit := time.Duration(float64(m.Predicted)*a.settings.SlowFactor) + a.settings.SlowGrace
	return m.Predicted > 0 && m.Actual > limit
}

// applyProbeOutcome handles an outcome of an endpoint that is being probed.
func (a Aggregate) applyProbeOutcome(e *endpoint, m Outcome) []Command {
	if m.Kind != Succeeded {
		return a.avoid(e, m.Time, ProbeFailed)
	}
	e.probeSuccesses++
	if e.probeSuccesses < a.settings.Probes {
		return nil
	}
	e.avoidances, e.total, e.failed, e.slow = 0, 0, 0, 0
	return e.setStatus(Status{State: Healthy}, Recovered)
}

// evaluate updates an endpoint's state: healthy, doubted, avoided or probing.
func (a Aggregate) evaluate(e *endpoint, now time.Time) []Command {
	switch {
	case e.status.State == Avoided && now.Before(e.status.AvoidUntil):
		return nil
	case e.isOutOfRotation() && a.silent(e, now):
		// Probing an endpoint that sends no load reports would only waste requests. The period does not
		// grow, so that the endpoint is probed soon after its next load report.
		return e.setStatus(Status{State: Avoided, AvoidUntil: now.Add(a.settings.FirstAvoidance)}, Silent)
	case e.status.State == Avoided:
		return a.probe(e, now)
	case e.status.State == Probing:
		if e.status.Probes == 0 && !now.Before(e.probesUntil) {
			return a.probe(e, now)
		}
		return nil
	}
	cause := a.unhealthyCause(e, now)
	if cause == "" {
		if e.status.State == Doubted {
			return e.setStatus(Status{State: Healthy}, Recovered)
		}
		return nil
	}
	var commands []Command
	e.lastCause = cause
	if !a.withinBound(e, 1) {
		replaced := a.findLessSevere(e)
		if replaced == nil {
			if e.status.State == Doubted {
				return nil
			}
			return e.setStatus(Status{State: Doubted, Penalty: a.settings.Penalty}, cause)
		}
		commands = replaced.setStatus(Status{State: Doubted, Penalty: a.settings.Penalty}, BoundReached)
	}
	return append(commands, a.avoid(e, now, cause)...)
}

// unhealthyCause returns why the endpoint is unhealthy, or the empty string if it is healthy.
func (a Aggregate) unhealthyCause(e *endpoint, now time.Time) Cause {
	weight := math.Exp2(-max(0, now.Sub(e.lastOutcome).Seconds()) / a.settings.HalfLife.Seconds())
	enough := e.total*weight >= a.settings.MinOutcomes
	recent := now.Sub(e.lastOutcome) < a.settings.HalfLife
	switch {
	case a.silent(e, now):
		return Silent
	case recent && e.consecutive >= a.settings.ConsecutiveFailures, enough && e.failed >= e.total*a.settings.FailureFraction:
		return Failing
	case enough && a.slow(e) && !a.isOverloaded():
		return Slow
	}
	return ""
}

func (a Aggregate) slow(e *endpoint) bool {
	return e.total > 0 && e.slow >= e.total*a.settings.SlowFraction
}

// isOverloaded reports whether more than a third of the endpoints are slow. Then the cause is overload,
// and avoiding some endpoints would increase the load of the others.
func (a Aggregate) isOverloaded() bool {
	slow := 0
	for _, e := range a.endpoints {
		if a.slow(e) {
			slow++
		}
	}
	return slow*3 > len(a.endpoints)
}

func (a Aggregate) silent(e *endpoint, now time.Time) bool {
	return now.Sub(e.lastSeen) >= a.settings.SilentAfter
}

// avoid starts a period of avoidance, twice as long as the previous one up to MaxAvoidance.
func (a Aggregate) avoid(e *endpoint, now time.Time, cause Cause) []Command {
	period := a.settings.MaxAvoidance
	if e.avoidances < 6 {
		period = min(period, a.settings.FirstAvoidance<<e.avoidances)
	}
	e.avoidances++
	e.probeSuccesses = 0
	return e.setStatus(Status{State: Avoided, AvoidUntil: now.Add(period)}, cause)
}

// probe starts probing the endpoint.
func (a Aggregate) probe(e *endpoint, now time.Time) []Command {
	e.probeSuccesses, e.consecutive = 0, 0
	e.probesUntil = now.Add(a.settings.ProbeWait)
	return e.setStatus(Status{State: Probing, Probes: a.settings.Probes}, DeadlineReached)
}

// withinBound reports whether at most a third of the endpoints is out of rotation on each of the
// endpoint's routes, counting the given number of additional ones.
func (a Aggregate) withinBound(e *endpoint, added int) bool {
	for _, c := range e.routeCounts {
		if (c.outOfRotation+added)*3 > c.listed {
			return false
		}
	}
	return true
}

// findLessSevere returns a less severe endpoint out of rotation that the given one may replace, or nil.
func (a Aggregate) findLessSevere(e *endpoint) *endpoint {
	var found *endpoint
	for _, other := range a.endpoints {
		if !other.isOutOfRotation() || other.severity() >= e.severity() || found != nil && other.Instance > found.Instance {
			continue
		}
		other.adjustRouteCounts(true, -1)
		if a.withinBound(e, 1) {
			found = other
		}
		other.adjustRouteCounts(true, 1)
	}
	return found
}

// detectLostCentres finds data centres where at least two thirds of the endpoints are down while most
// endpoints elsewhere are up. With a single data centre, a loss can't be distinguished from a bad version.
func (a Aggregate) detectLostCentres(now time.Time) []Command {
	members, down := map[string]int{}, map[string]int{}
	allMembers, allDown := 0, 0
	for _, e := range a.endpoints {
		members[e.DataCentre]++
		allMembers++
		unreachable := now.Sub(e.unreachable) < a.settings.SilentAfter && !e.lastSeen.After(e.unreachable)
		if unreachable || a.silent(e, now) {
			down[e.DataCentre]++
			allDown++
		}
	}
	for name := range a.centres {
		members[name] += 0
	}
	var commands []Command
	for _, name := range slices.Sorted(maps.Keys(members)) {
		c, ok := a.centres[name]
		if !ok {
			c = &centreState{}
			a.centres[name] = c
		}
		others, othersDown := allMembers-members[name], allDown-down[name]
		lost := members[name] >= 2 && down[name]*3 >= members[name]*2 && others > 0 && othersDown*2 < others
		if lost {
			c.lostAt = now
		}
		if lost != c.lost {
			c.lost = lost
			commands = append(commands, DataCentreChanged{DataCentre: name, Lost: lost, Numbers: []event.Number{
				{Name: "Endpoints", Value: float64(members[name])}, {Name: "Down", Value: float64(down[name])},
			}})
		}
	}
	maps.DeleteFunc(a.centres, func(name string, c *centreState) bool {
		return members[name] == 0 && now.Sub(c.lostAt) > a.settings.AttributionDelay
	})
	return commands
}

// deferAttribution stores an unreachable or timed-out attempt until its cause is known. Attempts of the
// same second share an entry, so that a key has no more entries than AttributionDelay has seconds.
func (a Aggregate) deferAttribution(m Outcome, dataCentre string) {
	key := failureKey{m.Instance, dataCentre, m.Route, m.Version}
	entries := a.pending[key]
	second := m.Time.Truncate(time.Second)
	if n := len(entries); n > 0 && entries[n-1].at.Equal(second) {
		entries[n-1].count++
		return
	}
	a.pending[key] = append(entries, pendingFailures{at: second, count: 1})
}

// attributeFailures attributes the pending failures that are at least AttributionDelay old.
func (a Aggregate) attributeFailures(now time.Time) []Command {
	var commands []Command
	for _, key := range slices.SortedFunc(maps.Keys(a.pending), failureKey.compare) {
		entries := a.pending[key]
		for len(entries) > 0 && now.Sub(entries[0].at) >= a.settings.AttributionDelay {
			cause := ToVersion
			if c, ok := a.centres[key.dataCentre]; ok && !c.lostAt.Before(entries[0].at) {
				cause = ToDataCentre
			}
			commands = append(commands, Attributed{
				Instance: key.instance, Route: key.route, Version: key.version, Cause: cause, Failures: entries[0].count,
			})
			entries = entries[1:]
		}
		if len(entries) == 0 {
			delete(a.pending, key)
		} else {
			a.pending[key] = entries
		}
	}
	return commands
}

func (a Aggregate) sortedEndpoints() []*endpoint {
	return slices.SortedFunc(maps.Values(a.endpoints), func(x, y *endpoint) int {
		return cmp.Compare(x.Instance, y.Instance)
	})
}

func (k failureKey) compare(other failureKey) int {
	return cmp.Or(
		cmp.Compare(k.instance, other.instance), cmp.Compare(k.dataCentre, other.dataCentre),
		cmp.Compare(k.route, other.route), cmp.Compare(k.version, other.version),
	)
}

func (e *endpoint) isOutOfRotation() bool {
	return e.status.State == Avoided || e.status.State == Probing
}

// severity ranks unhealthy endpoints. If the bound is reached, the more severe ones are avoided.
func (e *endpoint) severity() int {
	if e.lastCause == Slow {
		return 1
	}
	return 2
}

// adjustRouteCounts adds delta to the out-of-rotation counts of the endpoint's routes if outOfRotation
// is set.
func (e *endpoint) adjustRouteCounts(outOfRotation bool, delta int) {
	if !outOfRotation {
		return
	}
	for _, c := range e.routeCounts {
		c.outOfRotation += delta
	}
}

// setStatus changes the endpoint's status and returns the command that reports it. DeadlineReached and
// BoundReached do not replace the last cause, which decides the severity.
func (e *endpoint) setStatus(status Status, cause Cause) []Command {
	e.adjustRouteCounts(e.isOutOfRotation(), -1)
	e.status = status
	e.adjustRouteCounts(e.isOutOfRotation(), 1)
	if cause != DeadlineReached && cause != BoundReached {
		e.lastCause = cause
	}
	return []Command{Changed{Instance: e.Instance, Status: status, Reason: cause, Numbers: []event.Number{
		{Name: "Requests", Value: e.total},
		{Name: "Failures", Value: e.failed},
		{Name: "Slow", Value: e.slow},
		{Name: "ConsecutiveFailures", Value: float64(e.consecutive)},
	}}}
}
