// Package assist decides when a daemon that has lost its links to the endpoints lets another daemon serve its
// requests, which one, and whether that one does.
//
// A connection that fails to open says something about the link, the endpoint, or both. Links tells them apart: it
// tests other endpoints and compares with what other daemons reach at the same time. Only if they open connections
// and this daemon opens none are its links lost.
//
// # Usage
//
//	links := assist.NewLinks()
//	links, commands := links.Update(assist.Failed{ID: "i-1", Now: now})
//	links, commands = links.Update(assist.Tick{Now: now, Endpoints: ids, Random: random})
//	for _, c := range commands { ... }     // Test opens connections, Ask asks other daemons
//	if links.Lost() { ... }                // requests are handed over
//
//	helper, ok := assist.Choose(helpers, assist.Need{...}, random)
//	reason := assist.Judge(offer, helper)  // at the other daemon
//
// Update changes the state in place: use only the returned one afterwards.
package assist

import (
	"maps"
	"slices"
	"time"

	"lentilstage.dev/domain/value"
)

type (
	// Phase is what is known of the links of this daemon as a whole.
	Phase string

	// Links is what a daemon knows of its links to endpoints.
	Links struct {
		phase Phase
		// since is when the present suspicion began, openedAt when a connection was last opened, heardAt when an
		// endpoint last sent a byte.
		since, openedAt, heardAt time.Time
		// opened holds when a connection to each endpoint was last opened, listed the number of endpoints.
		opened map[string]time.Time
		listed int
		// failed holds the endpoints to which the last connection failed to open.
		failed map[string]failure
		// waiting holds the endpoints that owe an answer.
		waiting map[string]waiting
		// run holds the endpoints that have failed since a connection was last opened.
		run map[string]bool
		// peersOpened holds when other daemons opened connections to any endpoint.
		peersOpened sightings
		// testing is the number of tests without a result.
		testing int
		// batch is the number of tests that begin together. It grows while they succeed.
		batch int
		// testedAt is when the last tests began, askedAt when others were last asked.
		testedAt, askedAt time.Time
		// questioned holds the endpoints of a question that this daemon can't answer from recent connections.
		questioned []string
	}

	// failure is a link on which no connection opens.
	failure struct {
		since time.Time
		// tests is the number of tests that have failed, testAt when the next one is due.
		tests  int
		testAt time.Time
		// begun holds when connections that failed were begun, not each of many, and reached when other daemons opened one.
		begun, reached sightings
	}

	// sightings are the last times of an event, in order.
	sightings []time.Time

	// waiting counts the attempts at an endpoint that has not answered them, since the last one that it answered.
	waiting struct {
		count int
		since time.Time
	}

	// Message is an event that Update applies.
	Message interface{ message() }

	// Opened reports that a connection to an endpoint was opened.
	Opened struct {
		ID   string
		Now  time.Time
		Test bool
	}

	// Failed reports that a connection to an endpoint, which was begun at a time, failed to open.
	Failed struct {
		ID         string
		Began, Now time.Time
		Test       bool
	}

	// Sent reports that a request was sent.
	Sent struct {
		ID  string
		Now time.Time
	}

	// Heard reports that an endpoint has answered a request.
	Heard struct {
		ID  string
		Now time.Time
	}

	// Ended reports that a request has ended without an answer.
	Ended struct{ ID string }

	// Questioned reports another daemon's question about endpoints.
	Questioned struct {
		IDs []string
		Now time.Time
	}

	// Evidence is another daemon's answer to a question.
	Evidence struct {
		// OpenedAt is when it last opened a connection to an endpoint; zero for never.
		OpenedAt time.Time
		// Reached holds when it last did so for endpoints of the question.
		Reached map[string]time.Time
		Now     time.Time
	}

	// Tick is the passing of time. Endpoints are those that are listed. HeardAt is when an endpoint last sent a byte.
	Tick struct {
		Now       time.Time
		Endpoints []string
		HeardAt   time.Time
		Random    func() float64
	}

	// Command is an effect that Update asks for.
	Command interface{ command() }

	// Test asks for a connection to each of the endpoints.
	Test struct{ IDs []string }

	// Ask asks for the evidence of other daemons, about the named endpoints among others.
	Ask struct{ IDs []string }

	// Changed reports a new phase. Failed is the number of endpoints that failed since a connection was last opened.
	Changed struct {
		Phase  Phase
		Since  time.Time
		Failed int
	}
)

const (
	// Sound links open connections. Suspected ones have failed in a row. Lost ones have failed all tests while other
	// daemons opened connections.
	Sound     Phase = "Sound"
	Suspected Phase = "Suspected"
	Lost      Phase = "Lost"

	// suspectEndpoints is the number of endpoints that must fail in a row.
	suspectEndpoints = 2
	// lostEndpoints is the number of endpoints that must fail in a row before the links count as lost. If a sixth of the
	// endpoints has crashed, four that were chosen at random have all crashed in one of a thousand cases.
	lostEndpoints = 4
	// silentTime is how long no endpoint has sent a byte while two owe an answer. It is the shortest target of a
	// first event in use.
	silentTime = 500 * time.Millisecond
	// askInterval is the pause between two questions, testInterval between two rounds of tests.
	askInterval  = 200 * time.Millisecond
	testInterval = 250 * time.Millisecond
	// lostTests is the number of tests in a round while the links are lost, maxTests the most at the same time: after a
	// cut, all endpoints are tested within a second or two without a burst of connections.
	lostTests = 2
	maxTests  = 16
	// maxTestPause limits the pause between two tests of one endpoint, which doubles.
	maxTestPause = time.Second
	// minOpened is the number of endpoints up to which those that are gone are not forgotten.
	minOpened = 64
	// maxAsked limits the endpoints in a question.
	maxAsked = 16
	// maxSightings limits the times that are kept. enclosingTime is the longest time between two of them in which endpoints
	// count as reached throughout: sound ones may be silent for a second.
	maxSightings  = 16
	enclosingTime = 700 * time.Millisecond
	// begunInterval is the shortest time between two connections that failed and are kept.
	begunInterval = 50 * time.Millisecond
	// calmAskInterval is the pause between two questions while the links are sound and some endpoints fail.
	calmAskInterval = 500 * time.Millisecond
	// reachedTTL is how long evidence holds that another daemon reaches an endpoint.
	reachedTTL = 2 * time.Second
)

// NewLinks returns links of which nothing is known. They count as sound.
func NewLinks() Links {
	return Links{phase: Sound, opened: map[string]time.Time{}, failed: map[string]failure{}, waiting: map[string]waiting{}, run: map[string]bool{}, batch: lostTests}
}

// Phase returns what is known of the links as a whole.
func (l Links) Phase() Phase { return l.phase }

// Lost reports whether no endpoint can be reached from here and others reach some.
func (l Links) Lost() bool { return l.phase == Lost }

// OpenedAt returns when a connection was last opened.
func (l Links) OpenedAt() time.Time { return l.openedAt }

// Reached returns when a connection was last opened to each of the endpoints, of those to which one was.
func (l Links) Reached(ids []string) map[string]time.Time {
	reached := map[string]time.Time{}
	for _, id := range ids {
		if at, ok := l.opened[id]; ok {
			reached[id] = at
		}
	}
	return reached
}

// Failing reports whether the last connection to an endpoint failed to open.
func (l Links) Failing(id string) bool {
	_, failing := l.failed[id]
	return failing
}

// FailingAny reports whether the last connection to any endpoint failed to open.
func (l Links) FailingAny() bool { return len(l.failed) > 0 }

// LostTo reports whether another daemon reaches an endpoint that this one does not.
func (l Links) LostTo(id string, now time.Time) bool {
	f, failing := l.failed[id]
	return failing && f.reached.enclose(f.begun) && now.Sub(f.reached[len(f.reached)-1]) < reachedTTL
}

// with returns the sightings with one more.
func (s sightings) with(at time.Time) sightings {
	i, found := slices.BinarySearchFunc(s, at, time.Time.Compare)
	if found || i == 0 && len(s) >= maxSightings {
		return s
	}
	more := slices.Insert(slices.Clone(s), i, at)
	return more[max(0, len(more)-maxSightings):]
}

// enclose reports whether other daemons opened connections shortly before and after one of the times, so that endpoints
// were not silent meanwhile.
func (s sightings) enclose(times []time.Time) bool {
	return slices.ContainsFunc(times, func(at time.Time) bool {
		after, found := slices.BinarySearchFunc(s, at, time.Time.Compare)
		return !found && after > 0 && after < len(s) && s[after].Sub(s[after-1]) < enclosingTime
	})
}

// Calm reports whether a tick would change nothing.
func (l Links) Calm(now, heardAt time.Time) bool {
	return l.phase == Sound && len(l.failed) == 0 && len(l.questioned) == 0 && l.testing == 0 && !l.silent(now, heardAt) &&
		len(l.opened) <= max(2*l.listed, minOpened)
}

// Update applies a message and returns the resulting commands.
func (l Links) Update(m Message) (Links, []Command) {
	switch m := m.(type) {
	case Opened:
		return l.open(m)
	case Failed:
		return l.fail(m)
	case Sent:
		w := l.waiting[m.ID]
		if w.count++; w.count == 1 {
			w.since = m.Now
		}
		l.waiting[m.ID] = w
	case Heard:
		l.heardAt = value.Later(l.heardAt, m.Now)
		l.release(m.ID, m.Now)
	case Ended:
		l.release(m.ID, time.Time{})
	case Questioned:
		l.questioned = slices.DeleteFunc(slices.Clone(m.IDs), func(id string) bool { return m.Now.Sub(l.opened[id]) <= testInterval })
	case Evidence:
		l.peersOpened = l.peersOpened.with(m.OpenedAt)
		for id, at := range m.Reached {
			if f, failing := l.failed[id]; failing {
				f.reached = f.reached.with(at)
				l.failed[id] = f
			}
		}
		return l.judge(m.Now)
	case Tick:
		return l.tick(m)
	}
	return l, nil
}

// release counts one attempt less that waits for an answer. The others have waited since the endpoint answered.
func (l Links) release(id string, answeredAt time.Time) {
	w := l.waiting[id]
	if w.count--; w.count <= 0 {
		delete(l.waiting, id)
		return
	}
	w.since = value.Later(w.since, answeredAt)
	l.waiting[id] = w
}

// open ends any suspicion: some links work.
func (l Links) open(m Opened) (Links, []Command) {
	if m.Test {
		l.testing--
		l.batch = min(2*l.batch, maxTests)
	}
	l.openedAt = value.Later(l.openedAt, m.Now)
	l.opened[m.ID] = m.Now
	delete(l.failed, m.ID)
	clear(l.run)
	return l.become(Sound, m.Now)
}

func (l Links) fail(m Failed) (Links, []Command) {
	if m.Test {
		l.testing--
		l.batch = lostTests
	}
	f, failing := l.failed[m.ID]
	if !failing {
		f = failure{since: m.Now}
	}
	if count := len(f.begun); count == 0 || m.Began.Sub(f.begun[count-1]) >= begunInterval {
		f.begun = f.begun.with(m.Began)
	}
	if m.Test {
		f.tests++
	}
	f.testAt = m.Now.Add(f.testPause())
	l.failed[m.ID] = f
	l.run[m.ID] = true
	if l.phase == Sound && len(l.run) >= l.enough(suspectEndpoints) {
		return l.suspect(l.runSince(m.Now), m.Now)
	}
	return l.judge(m.Now)
}

// testPause returns the time until the next test of the link, which doubles with each test that fails.
func (f failure) testPause() time.Duration {
	pause := testInterval
	for n := 1; n < f.tests && pause < maxTestPause; n++ {
		pause *= 2
	}
	return min(pause, maxTestPause)
}

// enough returns how many of the endpoints must fail, if some number of them would do.
func (l Links) enough(count int) int {
	if l.listed == 0 {
		return count
	}
	return min(count, l.listed)
}

// runSince returns when the first endpoint failed since a connection was last opened.
func (l Links) runSince(now time.Time) time.Time {
	first := now
	for id := range l.run {
		first = value.Earlier(first, l.failed[id].since)
	}
	return value.Later(first, l.openedAt)
}

// suspect begins a suspicion that reaches back to a time, with tests at once.
func (l Links) suspect(since, now time.Time) (Links, []Command) {
	l.since, l.testedAt, l.askedAt = since, time.Time{}, time.Time{}
	return l.become(Suspected, now)
}

// become changes the phase.
func (l Links) become(phase Phase, now time.Time) (Links, []Command) {
	if l.phase == phase {
		return l, nil
	}
	since := l.since
	if phase == Sound {
		since = now
	}
	l.phase = phase
	return l, []Command{Changed{Phase: phase, Since: since, Failed: len(l.run)}}
}

// judge finds the links lost once enough endpoints have failed in a row, two of them while other daemons opened
// connections.
func (l Links) judge(now time.Time) (Links, []Command) {
	if l.phase != Suspected || len(l.run) < l.enough(lostEndpoints) {
		return l, nil
	}
	confirmed := 0
	for id := range l.run {
		if l.peersOpened.enclose(l.failed[id].begun) {
			confirmed++
		}
	}
	if confirmed < l.enough(suspectEndpoints) {
		return l, nil
	}
	return l.become(Lost, now)
}

// silent reports whether two endpoints owe an answer and none has sent a byte for a time.
func (l Links) silent(now, heardAt time.Time) bool {
	if now.Sub(value.Later(heardAt, l.heardAt)) < silentTime {
		return false
	}
	count := 0
	for _, w := range l.waiting {
		if now.Sub(w.since) >= silentTime {
			count++
		}
	}
	return count >= suspectEndpoints
}

func (l Links) tick(m Tick) (Links, []Command) {
	l.list(m.Endpoints)
	var commands []Command
	if l.phase == Sound && l.silent(m.Now, m.HeardAt) && m.Now.Sub(l.openedAt) >= silentTime {
		l, commands = l.suspect(value.Later(value.Later(m.HeardAt, l.heardAt), l.openedAt), m.Now)
	}
	tests := l.dueTests(m)
	if l.questioned = nil; len(tests) > 0 {
		l.testing += len(tests)
		l.testedAt = m.Now
		commands = append(commands, Test{IDs: tests})
	}
	interval := askInterval
	if l.phase == Sound {
		interval = calmAskInterval
	}
	if (l.phase != Sound || len(l.failed) > 0) && m.Now.Sub(l.askedAt) >= interval {
		l.askedAt = m.Now
		commands = append(commands, Ask{IDs: l.asked(m.Random)})
	}
	return l, commands
}

// list forgets endpoints that are no longer listed.
func (l *Links) list(ids []string) {
	l.listed = len(ids)
	if len(l.opened) <= max(2*l.listed, minOpened) && len(l.failed) == 0 {
		return
	}
	listed := make(map[string]bool, len(ids))
	for _, id := range ids {
		listed[id] = true
	}
	gone := func(id string) bool { return !listed[id] }
	maps.DeleteFunc(l.failed, func(id string, _ failure) bool { return gone(id) })
	maps.DeleteFunc(l.run, func(id string, _ bool) bool { return gone(id) })
	maps.DeleteFunc(l.opened, func(id string, _ time.Time) bool { return gone(id) })
}

// lostSome returns since when endpoints fail here that another daemon reaches; zero if fewer than two do.
func (l Links) lostSome(now time.Time) time.Time {
	var since time.Time
	count := 0
	for id, f := range l.failed {
		if !l.LostTo(id, now) {
			continue
		}
		if count++; since.IsZero() || f.since.Before(since) {
			since = f.since
		}
	}
	if count < l.enough(suspectEndpoints) {
		return time.Time{}
	}
	return since
}

// dueTests returns the endpoints to test now: others than those that have failed while the links are suspected, any
// while they are lost, and otherwise those that have failed, with all others once some links are known to be lost.
func (l Links) dueTests(m Tick) []string {
	if l.testing > 0 || m.Now.Sub(l.testedAt) < testInterval && l.batch == lostTests {
		return nil
	}
	var due []string
	limit, lostSince := l.batch, l.lostSome(m.Now)
	switch {
	case l.phase == Suspected:
		limit = lostEndpoints
	case l.phase == Sound && !lostSince.IsZero():
		limit = maxTests
	}
	for _, id := range m.Endpoints {
		f, failing := l.failed[id]
		switch {
		case l.phase == Suspected && (!l.run[id] || len(l.run) >= l.enough(lostEndpoints)), l.phase == Lost, failing && !m.Now.Before(f.testAt),
			!failing && l.opened[id].Before(lostSince), slices.Contains(l.questioned, id):
			due = append(due, id)
		}
	}
	shuffle(due, m.Random)
	return due[:min(limit, len(due))]
}

// asked returns endpoints to ask others about.
func (l Links) asked(random func() float64) []string {
	ids := make([]string, 0, len(l.failed))
	for id := range l.failed {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	shuffle(ids, random)
	return ids[:min(maxAsked, len(ids))]
}

func shuffle(ids []string, random func() float64) {
	for i := len(ids) - 1; i > 0; i-- {
		j := int(random() * float64(i+1))
		ids[i], ids[j] = ids[j], ids[i]
	}
}

func (Opened) message()     {}
func (Failed) message()     {}
func (Sent) message()       {}
func (Heard) message()      {}
func (Ended) message()      {}
func (Evidence) message()   {}
func (Questioned) message() {}
func (Tick) message()       {}

func (Test) command()    {}
func (Ask) command()     {}
func (Changed) command() {}
