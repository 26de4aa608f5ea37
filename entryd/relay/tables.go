package relay

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/health"
	"lentilstage.dev/decide/quota"
	"lentilstage.dev/decide/roster"
	"lentilstage.dev/decide/suspect"
	"lentilstage.dev/decide/usage"
	"lentilstage.dev/domain/setup"
)

type (
	// tables are what a daemon knows: configuration, endpoints, their health and loads, and
	// the allowances and usage of accounts. One lock guards them and is never held across I/O.
	tables struct {
		mutex  sync.Mutex
		centre string
		config *setup.Config
		raw    map[Stream]map[string]Record
		roster roster.State
		// lostAt is when the log stopped to answer; zero while it answers.
		lostAt time.Time
		// listed says that all endpoints were read, listedAt when they first were.
		listed   bool
		listedAt time.Time
		health   health.Aggregate
		quota    *quota.State
		usage    *usage.State
		own      map[string]choice.Load
		// peers are the daemons that tell this one their loads, hubLoads what the own hub tells
		// of all; which of the two counts depends on followsHub.
		peers      map[string]peerLoads
		hubLoads   peerLoads
		followsHub bool
		hub        string
		// work is the engine time of what this daemon has placed, in milliseconds by service, and
		// placed that of the others since this one hears them.
		work   map[string]float64
		placed map[string]float64
		// pastUsed is what ended processes have used.
		pastUsed map[string]int64
		// list and hash are derived from the roster, and out of date while stale is set.
		list  []setup.Endpoint
		hash  uint64
		stale bool
		// prefixes are the parts of prompts that engines keep.
		prefixes *prefixes
		rollouts map[string]*rollout
		suspects *suspect.State
		// misdirected holds endpoints whose address answered for another endpoint.
		misdirected map[string]int64
	}

	// peerLoads are the loads and uses that a daemon has told.
	peerLoads struct {
		heardAt     time.Time
		incarnation string
		young       bool
		loads       map[uint32]load
		used        map[string]int64
		// counted is the part of used that this daemon has seen being used.
		counted  map[string]int64
		work     map[string]int64
		outcomes map[string]outcomes
		breaks   map[suspect.Key]int
		answered map[suspect.Key]time.Time
		// followUntil is when the daemon no longer follows this one.
		followUntil time.Time
	}

	// placement is a request's load at an endpoint; its owner ends it.
	placement struct {
		endpoint string
		load     choice.Load
		// source is the address of the endpoint that keeps a part of the prompt; empty for none.
		source string
	}
)

const (
	tickInterval = 200 * time.Millisecond
	// loadsLast is how long a peer's loads count without a newer digest.
	loadsLast = 2 * time.Second
	// defaultAnswerTokens is assumed for a request that does not state its answer's length.
	defaultAnswerTokens = 100
	// neverSilent turns off the judgement by silence: endpoints here send no load reports.
	neverSilent = 24 * time.Hour
)

// phaseOf returns a number from 0 up to 1 that differs between daemons.
func phaseOf(daemon string) float64 { return float64(shortID(daemon)) / (1 << 32) }

func newTables(s Settings, incarnation string) *tables {
	start := quota.RestartStart
	if s.Bootstrap {
		start = quota.FullStart
	}
	settings := health.DefaultSettings()
	settings.SilentAfter = neverSilent
	window := s.Bounds.UsageWindow
	if window <= 0 {
		window = time.Minute
	}
	return &tables{
		centre: s.DataCentre,
		raw:    map[Stream]map[string]Record{Operators: {}, Endpoints: {}},
		roster: roster.New(), health: health.New(settings), quota: quota.New(start, phaseOf(s.Name)),
		usage: usage.New(s.Name, incarnation, window),
		own:   map[string]choice.Load{}, peers: map[string]peerLoads{},
		pastUsed: map[string]int64{}, work: map[string]float64{}, placed: map[string]float64{},
		prefixes:    newPrefixes(s.Bounds.CacheReuse),
		misdirected: map[string]int64{}, rollouts: map[string]*rollout{}, suspects: suspect.New(),
	}
}

// current returns the configuration, or nil while none is known.
func (t *tables) current() *setup.Config {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.config
}

// ready reports whether requests can be served.
func (t *tables) ready() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.config != nil && t.listed
}

// configure puts a newer configuration in force and reports whether it is newer.
func (t *tables) configure(config *setup.Config, record Record, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.config != nil && config.Version <= t.config.Version {
		return false
	}
	t.config = config
	t.raw[Operators][record.Key] = record
	t.quota.Update(quota.Configured{Accounts: config.Accounts, Now: now})
	return true
}

// put takes in an endpoint's record.
func (t *tables) put(record Record, endpoint setup.Endpoint, now time.Time) []roster.Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if record.Offset > t.roster.Offset(endpoint.ID) {
		t.raw[Endpoints][record.Key] = record
	}
	return t.update(roster.Put{Offset: record.Offset, Endpoint: endpoint, Now: now})
}

// drop takes in the end of an endpoint's record.
func (t *tables) drop(record Record, now time.Time) []roster.Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.update(roster.Drop{Offset: record.Offset, ID: record.Key, Now: now})
}

// complete says that all records of endpoints up to the end were read.
func (t *tables) complete(end int64, ids []string, now time.Time) []roster.Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.listed {
		t.listed, t.listedAt = true, now
	}
	return t.update(roster.Listed{End: end, IDs: ids, Now: now})
}

// storeState says whether the log answers. upElsewhere reports whether it has answered other
// daemons since a time.
func (t *tables) storeState(up bool, now time.Time, upElsewhere func(since time.Time) bool) []roster.Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !up {
		if t.lostAt.IsZero() {
			t.lostAt = now
		}
		return t.update(roster.Lost{Now: now})
	}
	alone := !t.lostAt.IsZero() && upElsewhere(t.lostAt)
	t.lostAt = time.Time{}
	return t.update(roster.Returned{Now: now, Alone: alone})
}

// lost reports whether the log has stopped to answer.
func (t *tables) lost() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !t.lostAt.IsZero()
}

// elapsed lets time pass.
func (t *tables) elapsed(now time.Time) []roster.Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	changes := t.update(roster.Elapsed{Now: now})
	t.refresh(now)
	t.health, _ = t.health.Update(health.Tick{Time: now})
	t.prefixes.forget(now)
	return changes
}

// update changes the roster and tells the health judgement of joined and gone endpoints.
func (t *tables) update(m roster.Message) []roster.Change {
	var changes []roster.Change
	t.roster, changes = t.roster.Update(m)
	for _, c := range changes {
		delete(t.misdirected, c.Endpoint.ID)
		if c.Reason == roster.Gone {
			delete(t.raw[Endpoints], c.Endpoint.ID)
		}
		if c.Reason == roster.Gone || c.Reason == roster.Restarted {
			t.prefixes.drop(c.Endpoint.ID)
		}
	}
	t.stale = t.stale || len(changes) > 0
	return changes
}

// refresh brings what is derived from the roster up to date.
func (t *tables) refresh(now time.Time) {
	if !t.stale {
		return
	}
	t.stale = false
	t.list = t.roster.Endpoints()
	t.hash = 0
	var members []health.Member
	for _, e := range t.list {
		t.hash ^= xxhash.Sum64String(fmt.Sprint(e.ID, e.Address, e.State, e.Born))
		members = append(members, health.Member{Instance: e.ID, DataCentre: e.DataCentre, Routes: []string{e.Service}})
	}
	t.health, _ = t.health.Update(health.Listing{Time: now, Endpoints: members})
}

// gone takes in the end of an endpoint that the own hub has found.
func (t *tables) gone(record Record) []roster.Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.update(roster.End{Offset: record.Offset, ID: record.Key})
}

// news returns a message with changes of endpoints.
func (t *tables) news(changes []roster.Change) message {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var m message
	for _, c := range changes {
		id := c.Endpoint.ID
		if c.Reason == roster.Gone {
			m.Gone = append(m.Gone, Record{Key: id, Offset: t.roster.Offset(id)})
		} else if r, ok := t.raw[Endpoints][id]; ok {
			m.Put = append(m.Put, r)
		}
	}
	return m
}

// rosterHash returns a hash of the endpoints, equal at daemons that know the same ones.
func (t *tables) rosterHash(now time.Time) uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refresh(now)
	return t.hash
}

// version returns the version of the configuration in force, or 0.
func (t *tables) version() int64 {
	if config := t.current(); config != nil {
		return config.Version
	}
	return 0
}

// heardLoads returns the loads that the other daemons have told lately, by short identifiers.
func (t *tables) heardLoads(now time.Time) map[uint32]load {
	if t.followsHub {
		if now.Sub(t.hubLoads.heardAt) > loadsLast {
			return nil
		}
		return t.hubLoads.loads
	}
	sum := map[uint32]load{}
	t.addPeers(sum, now)
	return sum
}

// addPeers adds the loads that the daemons have told lately to a sum.
func (t *tables) addPeers(sum map[uint32]load, now time.Time) {
	for _, p := range t.peers {
		if now.Sub(p.heardAt) > loadsLast {
			continue
		}
		for id, l := range p.loads {
			sum[id] = sum[id].plus(l)
		}
	}
}

// load returns an endpoint's load by this daemon and by the others, as they were heard.
func (t *tables) load(id string, heard map[uint32]load) choice.Load {
	others := heard[shortID(id)]
	return t.own[id].Plus(choice.Load{
		Requests: others.Requests, Reading: float64(others.Reading), Memory: float64(others.Memory),
	})
}

// candidates returns the endpoints of the service that may get the call, and those that leave, which may
// still keep a part of its prompt. Endpoints that were tried are left out, and those in bad health
// unless no other is left.
func (t *tables) candidates(service string, call Call, tried map[string]bool, now time.Time) (serving, leaving []choice.Candidate) {
	memory := 0
	if s, ok := t.config.Services[service]; ok && s.Engine != nil {
		memory = s.Engine.Memory
	}
	heard, parts := t.heardLoads(now), shortParts(call.Parts)
	var poor []choice.Candidate
	serving = make([]choice.Candidate, 0, len(t.list))
	for _, e := range t.list {
		if e.Service != service || tried[e.ID] {
			continue
		}
		if born, wrong := t.misdirected[e.ID]; wrong && born == e.Born {
			continue
		}
		standing := t.health.Standing(e.ID)
		c := choice.Candidate{
			ID: e.ID, Version: e.Version, DataCentre: e.DataCentre, Slots: e.Slots, Memory: memory,
			Load: t.load(e.ID, heard), Cached: t.prefixes.tokens(shortID(e.ID), parts, now),
			Local: e.DataCentre == t.centre, Penalty: float64(standing.Penalty.Milliseconds()),
		}
		switch {
		case e.State != setup.Ready:
			leaving = append(leaving, c)
		case standing.Blocked():
			poor = append(poor, c)
		default:
			serving = append(serving, c)
		}
	}
	if len(serving) == 0 {
		return poor, leaving
	}
	return serving, leaving
}

// endpoint returns the entry of an endpoint that is not gone.
func (t *tables) endpoint(id string) (setup.Endpoint, bool) {
	i := slices.IndexFunc(t.list, func(e setup.Endpoint) bool { return e.ID == id })
	if i < 0 {
		return setup.Endpoint{}, false
	}
	return t.list[i], true
}

// wanted is a call that needs an endpoint.
type wanted struct {
	service string
	call    Call
	target  time.Duration
	// tried are endpoints that must not get it again.
	tried map[string]bool
	// fits reports whether a choice is admitted; it is called while the tables are locked.
	fits func(choice.Picked) bool
}

// place picks an endpoint for the call and counts the call there. The caller ends the
// placement.
func (t *tables) place(w wanted, now time.Time, random func() float64) (setup.Endpoint, choice.Picked, *placement, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refresh(now)
	request := choiceRequest(t.config, w.service, w.call)
	request.Target, request.Fits = float64(w.target.Milliseconds()), w.fits
	candidates, leaving := t.candidates(w.service, w.call, w.tried, now)
	candidates, request.Sources = t.byVersion(w.service, candidates, random()), leaving
	picked, ok := choice.Pick(request, candidates, random)
	if !ok {
		return setup.Endpoint{}, picked, nil, false
	}
	endpoint, _ := t.endpoint(picked.Candidate.ID)
	p := &placement{endpoint: endpoint.ID, load: choice.Load{Requests: 1}}
	if source, ok := t.endpoint(picked.Source); ok {
		p.source = source.Address
	}
	if request.Model {
		p.load.Reading, p.load.Memory = float64(picked.Uncached), float64(request.Prompt+request.Answer)
		if len(w.tried) == 0 {
			// A request that is sent again brings no further demand.
			t.work[w.service] += workOf(request, picked.Uncached, endpoint.Slots)
		}
		t.prefixes.place(endpoint.ID, w.call.Parts, now)
	}
	t.own[endpoint.ID] = t.own[endpoint.ID].Plus(p.load)
	t.health, _ = t.health.Update(health.Sent{Time: now, Instance: endpoint.ID})
	return endpoint, picked, p, true
}

// choiceRequest returns what the choice needs to know of a call.
func choiceRequest(config *setup.Config, service string, call Call) choice.Request {
	r := choice.Request{Prompt: call.PromptTokens, Answer: call.AnswerHint}
	if r.Answer == 0 {
		r.Answer = min(max(call.AnswerTokens, 1), defaultAnswerTokens)
	}
	if s, ok := config.Services[service]; ok && s.Engine != nil {
		r.Model, r.FetchPerMS = true, s.Engine.FetchPerMS
	}
	for i, part := range call.Parts {
		if i < len(call.Parts)-1 {
			r.Session = part.ID
			r.Shared += part.Tokens
		}
	}
	return r
}

// read says that the prompt of a placed call has been read.
func (t *tables) read(p *placement) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.own[p.endpoint] = t.own[p.endpoint].Minus(choice.Load{Reading: p.load.Reading})
	p.load.Reading = 0
}

// end says that a placed call is no longer at its endpoint.
func (t *tables) end(p *placement) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	rest := t.own[p.endpoint].Minus(p.load)
	if rest.Requests <= 0 {
		delete(t.own, p.endpoint)
		return
	}
	t.own[p.endpoint] = rest
}

// judge takes in how an attempt ended.
func (t *tables) judge(endpoint setup.Endpoint, kind health.OutcomeKind, predicted, actual time.Duration, now time.Time) []health.Command {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.count(endpoint, kind, now)
	var commands []health.Command
	t.health, commands = t.health.Update(health.Outcome{
		Time: now, Instance: endpoint.ID, Route: endpoint.Service, Version: endpoint.Version, Kind: kind,
		Predicted: predicted, Actual: actual,
	})
	return commands
}

// misdirect leaves an endpoint out whose address answered for another one, until it
// registers anew.
func (t *tables) misdirect(endpoint setup.Endpoint) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.misdirected[endpoint.ID] = endpoint.Born
}

// take asks for an account's allowance.
func (t *tables) take(account string, cost float64, now time.Time) quota.Verdict {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.quota.Take(account, cost, now)
}

// giveBack returns the allowance of a request that no endpoint ran.
func (t *tables) giveBack(account string, cost float64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.quota.Return(account, cost)
}

// began counts a request that began to run.
func (t *tables) began(account string, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.usage.Count(account, at)
}
