package relay

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilstage.dev/decide/admit"
	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/health"
	"lentilstage.dev/decide/homes"
	"lentilstage.dev/decide/pace"
	"lentilstage.dev/decide/poison"
	"lentilstage.dev/decide/quota"
	"lentilstage.dev/decide/roster"
	"lentilstage.dev/decide/shift"
	"lentilstage.dev/decide/suspect"
	"lentilstage.dev/decide/usage"
	"lentilstage.dev/decide/vacate"
	"lentilstage.dev/domain/setup"
	"lentilstage.dev/domain/value"
)

type (
	// tables holds what a daemon knows: the configuration, the endpoints with their health and loads,
	// and the allowances and usage of client accounts. One lock guards it and is never held across
	// I/O.
	tables struct {
		mutex   sync.Mutex
		centre  string
		config  *setup.Config
		records map[Stream]map[string]Record
		roster  roster.State
		// unreachableSince is when the log became unreachable; zero while it is reachable.
		unreachableSince time.Time
		// listed reports whether all endpoints were read, listedAt is when they first were.
		listed   bool
		listedAt time.Time
		health   health.Aggregate
		quota    *quota.State
		usage    *usage.State
		// own holds the load that this daemon places on each endpoint.
		own map[string]choice.Load
		// peers holds the state of the followers, which send digests to this daemon, centres that of
		// the other data centres by their hubs' sums, and hubState that of the own hub's totals.
		// followsHub selects which of them apply.
		peers      map[string]peerState
		centres    map[string]peerState
		hubState   peerState
		followsHub bool
		hub        string
		// hubSince is when this daemon last became its own hub; zero before.
		hubSince time.Time
		// work is the engine time of the requests that this daemon has placed, in milliseconds by
		// service. peerWork and centreWork are those of the followers and of the other data centres
		// since their first messages arrived here.
		work, peerWork, centreWork map[string]float64
		// limits holds the newest that is known of the limits of endpoints, ownLimits what they have said to this
		// daemon, both by short identifiers. The times are those of the last messages with limits.
		limits, ownLimits                    map[uint32]statedLimit
		digestLimits, sumLimits, totalLimits time.Time
		// evacuations are the evacuated data centres, evacuationRecords the last key and value of each one's records.
		// The times are those of the last messages with evacuations. operatorsListed reports whether the operators'
		// records were all read.
		evacuations                                         vacate.State
		evacuationRecords                                   map[string]Record
		digestEvacuations, sumEvacuations, totalEvacuations time.Time
		operatorsListed                                     bool
		// regions are the regions of the data centres.
		regions homes.Regions
		// warmth is what is known of endpoints that were cold, coldLimits the rates that apply to those that are, both by
		// short identifiers. coldLimits are out of date while coldStale is set. The times are those of the last messages
		// with cold endpoints.
		warmth                         map[uint32]warmth
		coldLimits                     map[uint32]float64
		coldStale                      bool
		coldOverrun, coldTolerance     float64
		digestCold, sumCold, totalCold time.Time
		// shortIDs are the short identifiers of the endpoints.
		shortIDs map[uint32]bool
		// slotShares are the slots of brittle endpoints that this daemon may use whatever the others do.
		slotShares map[string]int
		// rejectionIDs are the short identifiers of the endpoints' limits of rejections.
		rejectionIDs map[uint32]bool
		// placed is the number of requests whose engine time is in work, by service.
		placed map[string]float64
		// pastUsed is the usage of ended processes of the own data centre, by client account,
		// pastUsedElsewhere that of the other data centres under their former hubs.
		pastUsed, pastUsedElsewhere map[string]int64
		// ownParts are the contents of the last digests, oldest first.
		ownParts []ownPart
		// sumCursor and totalsCursor are the identifiers at which the loads in the next messages
		// start.
		sumCursor, totalsCursor uint32
		// endpoints and endpointsHash are derived from the roster and out of date while stale is set.
		endpoints     []setup.Endpoint
		endpointsHash uint64
		// endpointHashes are the hashes of the endpoints by bucket.
		endpointHashes rosterHashes
		stale          bool
		// prefixTable records the parts of prompts that engines have cached.
		prefixTable *prefixTable
		rollouts    map[string]*rollout
		// timings holds the last times of answers, in a roll-out those of the old version.
		timings  map[timingKey]shift.Reference
		suspects *suspect.State
		// poison holds the parts of prompts that crash endpoints, poisonChanges what is to be logged.
		poison        poison.State
		poisonChanges []poison.Command
		// rolloutEnds are the ends of roll-outs that were read from the log, by service.
		rolloutEnds map[string]rolloutFinding
		// paces holds the observed speed of each service's engines.
		paces map[string]*pace.State
		// speeds holds the speeds of the endpoints.
		speeds *endpointSpeeds
		// demand is what callers ask of each service at this daemon. demandSentAt are the times of the last messages
		// with demands by kind, ownDemand the demand in the last digest with one.
		demand       map[string]*serviceDemand
		demandSentAt map[messageKind]time.Time
		ownDemand    map[uint32]demandShare
		patience     admit.Patience
		// shortageChanges are the shortages that have begun or ended and are to be logged.
		shortageChanges []shortageChange
		// phase is a number in [0, 1) that differs between daemons.
		phase float64
		// daemons is the number of known daemons, wallOffset the difference between the time of day that the daemons
		// agree on and this daemon's clock.
		daemons    int
		wallOffset time.Duration
		// misdirected holds the endpoints whose address belongs to another endpoint, each with the
		// time of its registration.
		misdirected map[string]int64
		// failingTo reports whether connections to an endpoint fail here, and whether other daemons open some.
		failingTo func(id string, now time.Time) (failing, lostTo bool)
	}

	// peerState is the last digest of a daemon, the last sums of a data centre, or the last totals of
	// the hub.
	peerState struct {
		receivedAt  time.Time
		incarnation string
		starting    bool
		// daemons is the number of daemons that the hub knows, or that the other data centre has.
		daemons int
		// sequence is the number of the last digest.
		sequence int64
		loads    map[uint32]load
		used     map[string]int64
		// recent is the part of used by processes that have just started.
		recent map[string]int64
		// counted is the part of used that was added since the peer's first message arrived here.
		counted  map[string]int64
		work     map[string]int64
		outcomes map[string]outcomes
		breaks   map[suspect.Key]int
		poison   poison.Evidence
		// limits are those that the peer has heard of.
		limits map[uint32]statedLimit
		// demand is what the peer has last reported of its callers, at demandAt.
		demand   map[uint32]demandShare
		demandAt time.Time
		// responses holds the times of responses to suspect requests.
		responses map[suspect.Key]time.Time
		// followUntil is when the daemon stops receiving totals unless it asks again.
		followUntil time.Time
	}

	// placement is a request's load at an endpoint. Whoever placed it must release it.
	placement struct {
		endpoint string
		load     choice.Load
		// sent reports whether bytes of the request have gone to the endpoint.
		sent bool
		// source is the address of an endpoint that has cached a part of the prompt, empty for none, and sourceCentre
		// that endpoint's data centre.
		source, sourceCentre string
		// work is the endpoint time of the request in seconds.
		work float64
	}
)

const (
	tickInterval = 200 * time.Millisecond
	// loadTTL is how long a peer's loads are valid without a newer digest.
	loadTTL = 2 * time.Second
	// defaultAnswerTokens is assumed for a request that does not state the length of its response.
	defaultAnswerTokens = 100
	// lightLoad is the fraction of an engine's slots up to which its times tell its speed.
	lightLoad = 0.25
	// noSilenceTimeout disables health decisions by silence, since endpoints here send no load
	// reports.
	noSilenceTimeout = 24 * time.Hour
)

// quotaPhase returns a number in [0, 1) that differs between daemons.
func quotaPhase(daemon string) float64 { return float64(shortID(daemon)) / (1 << 32) }

func newTables(s Settings, incarnation string) *tables {
	start := quota.RestartFraction
	if s.Bootstrap {
		start = quota.InitialFraction
	}
	settings := health.DefaultSettings()
	settings.SilentAfter = noSilenceTimeout
	window := s.Limits.UsageWindow
	if window <= 0 {
		window = time.Minute
	}
	return &tables{
		centre:  s.DataCentre,
		records: map[Stream]map[string]Record{Operators: {}, Endpoints: {}},
		roster:  roster.New(s.Limits.ReportInterval), health: health.New(settings), quota: quota.New(start, quotaPhase(s.Name)),
		usage: usage.New(s.Name, incarnation, window),
		own:   map[string]choice.Load{}, peers: map[string]peerState{}, centres: map[string]peerState{},
		pastUsed: map[string]int64{}, pastUsedElsewhere: map[string]int64{},
		work: map[string]float64{}, placed: map[string]float64{},
		limits: map[uint32]statedLimit{}, ownLimits: map[uint32]statedLimit{}, peerWork: map[string]float64{}, centreWork: map[string]float64{},
		evacuationRecords: map[string]Record{}, regions: homes.New(s.DataCentre, s.Region, s.Regions),
		warmth: map[uint32]warmth{}, coldLimits: map[uint32]float64{}, coldOverrun: s.Limits.ColdOverrun, coldTolerance: s.Limits.ColdTolerance,
		prefixTable: newPrefixTable(s.Limits.CacheReuseWindow),
		misdirected: map[string]int64{}, failingTo: func(string, time.Time) (bool, bool) { return false, false }, rollouts: map[string]*rollout{}, rolloutEnds: map[string]rolloutFinding{}, timings: map[timingKey]shift.Reference{}, suspects: suspect.New(), poison: poison.New(), paces: map[string]*pace.State{}, speeds: newEndpointSpeeds(),
		demand: map[string]*serviceDemand{}, demandSentAt: map[messageKind]time.Time{}, daemons: 1, phase: quotaPhase(s.Name),
	}
}

// currentConfig returns the configuration, or nil if none is known.
func (t *tables) currentConfig() *setup.Config {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.config
}

// ready reports whether requests can be served.
func (t *tables) ready() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.config != nil && t.listed && t.operatorsListed
}

// applyConfig applies a configuration if it is newer and reports whether it did.
func (t *tables) applyConfig(config *setup.Config, record Record, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.config != nil && config.Version <= t.config.Version {
		return false
	}
	t.config = config
	t.pruneTimings()
	t.records[Operators][record.Key] = record
	t.quota.Update(quota.Configured{Accounts: config.Accounts, Now: now})
	t.coldStale = true
	return true
}

// putEndpoint applies an endpoint's record.
func (t *tables) putEndpoint(record Record, endpoint setup.Endpoint, now time.Time) []roster.Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	before, known := t.roster.Position(endpoint.ID)
	changes := t.updateRoster(roster.Put{Position: record.Position(), Endpoint: endpoint, Now: now}, now)
	if after, _ := t.roster.Position(endpoint.ID); !known || after != before {
		t.records[Endpoints][record.Key] = record
		t.registerWarmth(endpoint, slices.ContainsFunc(changes, func(c roster.Change) bool {
			return c.Reason == roster.Joined || c.Reason == roster.Restarted
		}), now)
	}
	return changes
}

// deleteEndpoint applies the deletion of an endpoint's record.
func (t *tables) deleteEndpoint(record Record, now time.Time) []roster.Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.updateRoster(roster.Deleted{Position: record.Position(), ID: record.Key, Now: now}, now)
}

// applyListing applies the identifiers of all endpoints with records up to the position end.
func (t *tables) applyListing(end value.Position, ids []string, now time.Time) []roster.Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.listed {
		t.listed, t.listedAt = true, now
	}
	return t.updateRoster(roster.Listed{End: end, IDs: ids, Now: now}, now)
}

// setReachable records whether the log is reachable.
func (t *tables) setReachable(reachable bool, now time.Time) []roster.Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !reachable {
		if t.unreachableSince.IsZero() {
			t.unreachableSince = now
		}
		return t.updateRoster(roster.LogLost{Now: now}, now)
	}
	t.unreachableSince = time.Time{}
	return t.updateRoster(roster.LogRecovered{Now: now}, now)
}

// recordLogRead records that a daemon has read the endpoints' registrations at a time, and that daemons have read
// them without an interruption since another one.
func (t *tables) recordLogRead(since, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.updateRoster(roster.LogRead{Since: since, At: at}, at)
}

// logReadableSince returns since when daemons have read the endpoints' registrations without an interruption.
func (t *tables) logReadableSince(now time.Time) time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.roster.ReadableSince(now)
}

// unreachable reports whether the log is unreachable.
func (t *tables) unreachable() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !t.unreachableSince.IsZero()
}

// tick expires endpoints, health state and prompt parts.
func (t *tables) tick(now time.Time) []roster.Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	changes := t.updateRoster(roster.Tick{Now: now}, now)
	t.expireLimits(now)
	t.coldStale = true
	t.refresh(now)
	t.health, _ = t.health.Update(health.Tick{Time: now})
	t.prefixTable.expire(now)
	t.updatePoison(poison.Tick{Now: now})
	t.tickDemand(now)
	return changes
}

// updateRoster updates the roster and removes the state of endpoints that changed.
func (t *tables) updateRoster(m roster.Message, now time.Time) []roster.Change {
	var changes []roster.Change
	t.roster, changes = t.roster.Update(m)
	for _, c := range changes {
		delete(t.misdirected, c.Endpoint.ID)
		if c.Reason == roster.Gone {
			delete(t.records[Endpoints], c.Endpoint.ID)
		}
		if c.Reason == roster.Gone || c.Reason == roster.Restarted {
			t.removeLimit(c.Endpoint.ID, now)
			delete(t.warmth, shortID(c.Endpoint.ID))
			t.prefixTable.dropEndpoint(c.Endpoint.ID)
		}
	}
	t.stale = t.stale || len(changes) > 0
	return changes
}

// refresh updates what is derived from the roster.
func (t *tables) refresh(now time.Time) {
	if t.stale {
		t.rebuild(now)
	}
	if t.coldStale {
		t.limitCold(now)
	}
}

func (t *tables) rebuild(now time.Time) {
	t.stale, t.coldStale = false, true
	t.endpoints = t.roster.Endpoints()
	t.endpointsHash, t.endpointHashes = 0, rosterHashes{}
	t.shortIDs, t.rejectionIDs = make(map[uint32]bool, len(t.endpoints)), make(map[uint32]bool, len(t.endpoints))
	var members []health.Member
	for _, e := range t.endpoints {
		// What an endpoint has said to this daemon alone is no difference from the records of others.
		hash := xxhash.Sum64String(fmt.Sprint(e.ID, e.Address, t.roster.RegisteredState(e.ID), e.StartedAtMS))
		t.endpointsHash ^= hash
		t.endpointHashes[bucketOf(e.ID)] ^= hash
		t.shortIDs[shortID(e.ID)] = true
		t.rejectionIDs[limitID(e.ID, rejectionsLimit)] = true
		members = append(members, health.Member{Instance: e.ID, DataCentre: e.DataCentre, Routes: []string{e.Service}, Incarnation: e.StartedAtMS})
	}
	t.health, _ = t.health.Update(health.Listing{Time: now, Endpoints: members})
	t.speeds.list(t.endpoints)
}

// removeGone removes an endpoint that the hub found gone.
func (t *tables) removeGone(record Record, now time.Time) []roster.Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.updateRoster(roster.Removed{Position: record.Position(), ID: record.Key, Now: now}, now)
}

// changesMessage returns a message with changes of endpoints.
func (t *tables) changesMessage(changes []roster.Change) message {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var m message
	for _, c := range changes {
		id := c.Endpoint.ID
		if c.Reason == roster.Gone {
			at, _ := t.roster.Position(id)
			m.Gone = append(m.Gone, Record{Key: id, Era: at.Era, Offset: at.Offset})
		} else if r, ok := t.records[Endpoints][id]; ok {
			m.Put = append(m.Put, r)
		}
	}
	return m
}

// rosterHash returns a hash of the endpoints. It is equal on daemons that know the same endpoints.
func (t *tables) rosterHash(now time.Time) uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refresh(now)
	return t.endpointsHash
}

// configVersion returns the version of the configuration in force, or 0.
func (t *tables) configVersion() int64 {
	if config := t.currentConfig(); config != nil {
		return config.Version
	}
	return 0
}

// peerLoads returns the recent loads of the other daemons, by short identifiers of endpoints.
func (t *tables) peerLoads(now time.Time) map[uint32]load {
	if t.followsHub {
		if now.Sub(t.hubState.receivedAt) > loadTTL {
			return nil
		}
		return t.hubState.loads
	}
	sum := map[uint32]load{}
	addPeerLoads(sum, t.peers, now)
	addPeerLoads(sum, t.centres, now)
	return sum
}

// addPeerLoads adds the recent loads of peers to a sum.
func addPeerLoads(sum map[uint32]load, peers map[string]peerState, now time.Time) {
	for _, p := range peers {
		if now.Sub(p.receivedAt) > loadTTL {
			continue
		}
		for id, l := range p.loads {
			sum[id] = sum[id].plus(l)
		}
	}
}

// load returns an endpoint's load by this daemon and by the others.
func (t *tables) load(id string, peerLoads map[uint32]load) choice.Load {
	others := peerLoads[shortID(id)]
	return t.own[id].Plus(choice.Load{
		Requests: others.Requests, Reading: float64(others.Reading), Memory: float64(others.Memory),
	})
}

// candidates are the endpoints of a service that a call was not sent to yet.
type candidates struct {
	healthy, unhealthy []choice.Candidate
	// leaving may still have cached a part of the call's prompt.
	leaving []choice.Candidate
	// closed holds those of the healthy and the unhealthy ones that want no requests of this daemon at present.
	closed map[string]bool
}

// candidates returns the endpoints of the service that may get the call.
func (t *tables) candidates(r placeRequest, now time.Time) candidates {
	memory := 0
	if s, ok := t.config.Services[r.service]; ok && s.Engine != nil {
		memory = s.Engine.KVCacheTokens
	}
	loads, parts := t.peerLoads(now), shortParts(r.call.Parts)
	offered := t.attraction(r.service)
	found := candidates{healthy: make([]choice.Candidate, 0, len(t.endpoints))}
	for _, e := range t.endpoints {
		if e.Service != r.service || r.excludes(e.ID) || t.evacuations.Evacuated(e.DataCentre) || !t.regions.Allow(r.homes, e.DataCentre) {
			continue
		}
		if born, wrong := t.misdirected[e.ID]; wrong && born == e.StartedAtMS {
			continue
		}
		failing, lostTo := t.failingTo(e.ID, now)
		if lostTo {
			continue
		}
		status := t.health.Status(e.ID)
		c := choice.Candidate{
			ID: e.ID, Version: e.Version, DataCentre: e.DataCentre, Slots: e.Slots, Memory: memory,
			Load: t.load(e.ID, loads), Cached: t.prefixTable.tokens(shortID(e.ID), parts, now),
			Local: e.DataCentre == t.centre, Penalty: float64(status.Penalty.Milliseconds()) + t.coldPenalty(e.ID, r.target),
			Speed: t.speeds.factor(e),
		}
		if e.State != setup.Ready {
			found.leaving = append(found.leaving, c)
			continue
		}
		if r.copy && (status.State != health.Healthy || t.cold(e.ID) || t.limited(e.ID)) {
			continue
		}
		until, reason := t.closedUntil(e, offered, now)
		if r.only != "" && reason == limitReached && !t.cold(e.ID) {
			// The response has begun there and can go on nowhere else. The request is deducted from the limit.
			until = time.Time{}
		}
		if !until.IsZero() {
			if found.closed == nil {
				found.closed = map[string]bool{}
			}
			found.closed[e.ID] = true
		}
		if status.Blocked() || failing {
			found.unhealthy = append(found.unhealthy, c)
		} else {
			found.healthy = append(found.healthy, c)
		}
	}
	return found
}

// open returns the candidates that take requests.
func (c candidates) open(list []choice.Candidate) []choice.Candidate {
	if len(c.closed) == 0 {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(o choice.Candidate) bool { return c.closed[o.ID] })
}

// usable returns the candidates that may get the call: no closed ones, and unhealthy ones only if no other
// is left. In a roll-out the closed ones count in the choice of the version. Otherwise a new version that has
// not been tested would get all requests while those of the old version take none.
func (t *tables) usable(service string, c candidates, random float64, now time.Time) []choice.Candidate {
	list := c.healthy
	if len(c.open(list)) == 0 {
		list = slices.Concat(c.healthy, c.unhealthy)
	}
	return c.open(t.filterByVersion(service, list, c.closed, random, now))
}

// opensAt returns when the first endpoint of the service that the rule allows takes requests again if none does now; zero if one
// takes them or none is known.
func (t *tables) opensAt(service string, rule homes.Rule, now time.Time) time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refresh(now)
	var first time.Time
	for _, e := range t.endpoints {
		if e.Service != service || !t.available(e) || !t.regions.Allow(rule, e.DataCentre) {
			continue
		}
		until, _ := t.closedUntil(e, 0, now)
		if until.IsZero() {
			return time.Time{}
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first
}

// rejects reports whether the endpoint must get no requests of this daemon at present, and why: it wants none, or its
// data centre is evacuated.
func (t *tables) rejects(endpoint setup.Endpoint, now time.Time) (roster.Reason, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch {
	case t.evacuations.Evacuated(endpoint.DataCentre):
		return inEvacuation, true
	case now.Before(t.roster.RejectsUntil(endpoint.ID)):
		return roster.Rejecting, true
	}
	return "", false
}

// withdrawn reports whether an endpoint that was chosen for a request must not get it any more, and why: it rejects
// requests, is leaving or gone, its data centre is evacuated or not allowed any more, or another process has its identifier. A limit does not count: the request was
// deducted from it when the endpoint was chosen.
func (t *tables) withdrawn(chosen setup.Endpoint, rule homes.Rule, now time.Time) (roster.Reason, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refresh(now)
	current, known := t.endpoint(chosen.ID)
	switch {
	case !known:
		return roster.Gone, true
	case !current.SameProcess(chosen):
		return roster.Restarted, true
	case current.State != setup.Ready:
		return roster.Left, true
	case t.evacuations.Evacuated(current.DataCentre):
		return inEvacuation, true
	case !t.regions.Allow(rule, current.DataCentre):
		return outsideHomes, true
	case now.Before(t.roster.RejectsUntil(chosen.ID)):
		return roster.Rejecting, true
	}
	return "", false
}

// endpoint returns a known endpoint.
func (t *tables) endpoint(id string) (setup.Endpoint, bool) {
	i := slices.IndexFunc(t.endpoints, func(e setup.Endpoint) bool { return e.ID == id })
	if i < 0 {
		return setup.Endpoint{}, false
	}
	return t.endpoints[i], true
}

// placeRequest is a call that needs an endpoint.
type placeRequest struct {
	service string
	call    Call
	target  time.Duration
	// account is the name of the client account; empty without accounts.
	account string
	// homes are the regions in which the call may be served.
	homes homes.Rule
	// tried holds the endpoints that must not get the call again.
	tried map[string]bool
	// only is the only endpoint that may get the call, although it was tried; empty for any other one.
	only string
	// fits reports whether a choice would be admitted. It is called with the tables locked.
	fits func(choice.Picked) bool
	// copy is set if the call is a copy beside another attempt. Endpoints that are unhealthy, cold or limited get none.
	copy bool
	// accepts reports whether the choice is taken; nil takes each one. It is called with the tables locked.
	accepts func(choice.Picked) bool
}

func (r placeRequest) excludes(id string) bool {
	if r.only != "" {
		return id != r.only
	}
	return r.tried[id]
}

// place chooses an endpoint for the call and counts the call there. The caller must release the
// placement.
func (t *tables) place(r placeRequest, now time.Time, random func() float64) (setup.Endpoint, choice.Picked, *placement, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refresh(now)
	request := choiceRequest(t.config, r.service, r.call)
	request.Pace = t.pace(r.service).Estimate()
	request.Target, request.Admits = float64(r.target.Milliseconds()), r.fits
	found := t.candidates(r, now)
	request.Sources = found.leaving
	picked, ok := choice.Pick(request, t.usable(r.service, found, random(), now), random)
	if !ok || r.accepts != nil && !r.accepts(picked) {
		return setup.Endpoint{}, picked, nil, false
	}
	endpoint, _ := t.endpoint(picked.Candidate.ID)
	p := &placement{endpoint: endpoint.ID, load: choice.Load{Requests: 1}}
	if source, ok := t.endpoint(picked.Source); ok {
		p.source, p.sourceCentre = source.Address, source.DataCentre
	}
	if request.Model {
		p.load.Reading, p.load.Memory = float64(picked.Uncached), float64(request.Prompt+request.Answer)
		if len(r.tried) == 0 && r.only == "" {
			// A retry adds no demand.
			t.work[r.service] += engineTimeMS(request, picked.Uncached, endpoint.Slots)
			t.placed[r.service]++
		}
		t.prefixTable.place(endpoint.ID, r.call.Parts, now)
	}
	p.work = workSeconds(request, picked.Uncached, endpoint.Slots)
	if len(r.tried) == 0 && r.only == "" {
		t.serviceDemand(r.service).offered.Add(r.account, p.work, now)
	}
	t.own[endpoint.ID] = t.own[endpoint.ID].Plus(p.load)
	t.quota.CountEndpoint(limitKey(endpoint.ID))
	t.health, _ = t.health.Update(health.Sent{Time: now, Instance: endpoint.ID})
	return endpoint, picked, p, true
}

// pace returns the observed speed of a service's engines. The caller holds the lock.
func (t *tables) pace(service string) *pace.State {
	s := t.paces[service]
	if s == nil {
		s = pace.New()
		t.paces[service] = s
	}
	return s
}

// recordFirstToken records the time to the first token of a placed call. It returns the speed that the time shows, if the
// engine had nothing else to compute as far as this daemon knows.
func (t *tables) recordFirstToken(endpoint setup.Endpoint, picked choice.Picked, wait time.Duration) value.Option[float64] {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.pace(endpoint.Service).RecordWait(pace.Wait{
		Predicted: milliseconds(picked.Wait - picked.Extra()), Observed: wait, Speed: picked.Candidate.Speed,
	})
	load, slots := picked.Candidate.Load, picked.Candidate.Slots
	if picked.Fetched > 0 || load.Reading > 0 || float64(load.Requests) > lightLoad*float64(slots) {
		return value.None[float64]()
	}
	observed, known := t.pace(endpoint.Service).RecordFirst(pace.First{
		Tokens: picked.Uncached, Wait: wait - milliseconds(picked.Running()), Speed: picked.Candidate.Speed,
	})
	if !known {
		return value.None[float64]()
	}
	return value.Some(observed)
}

// recordAnswer records the time of a complete response after its first event, and the speed that its first event has
// shown. An endpoint that sends a first event at once and then fails is not fast.
func (t *tables) recordAnswer(endpoint setup.Endpoint, picked choice.Picked, first value.Option[float64], tokens int, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.speeds.record(endpoint)(first.Get())
	t.speeds.record(endpoint)(t.pace(endpoint.Service).RecordAnswer(pace.Answer{Tokens: tokens, Took: took, Speed: picked.Candidate.Speed}))
}

// recordPlain records the time of a response of a plain service, if the endpoint had a free slot as far as this daemon
// knows.
func (t *tables) recordPlain(endpoint setup.Endpoint, picked choice.Picked, took time.Duration) {
	if picked.Candidate.Load.Requests >= max(picked.Candidate.Slots, 1) {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.speeds.record(endpoint)(t.pace(endpoint.Service).RecordPlain(pace.Plain{Took: took, Speed: picked.Candidate.Speed}))
}

// choiceRequest returns the properties of a call that the choice of an endpoint uses.
func choiceRequest(config *setup.Config, service string, call Call) choice.Request {
	r := choice.Request{Prompt: call.PromptTokens, Answer: call.AnswerHint}
	if r.Answer == 0 {
		r.Answer = min(max(call.AnswerTokens, 1), defaultAnswerTokens)
	}
	if s, ok := config.Services[service]; ok && s.Engine != nil {
		r.Model, r.FetchPerMS = true, s.Engine.FetchTokensPerMS
	}
	for i, part := range call.Parts {
		if i < len(call.Parts)-1 {
			r.Session = part.ID
			r.Shared += part.Tokens
		}
	}
	return r
}

// markPromptRead records that the endpoint has read the prompt of a placed call.
func (t *tables) markPromptRead(p *placement) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.own[p.endpoint] = t.own[p.endpoint].Minus(choice.Load{Reading: p.load.Reading})
	p.load.Reading = 0
}

// release records that a placed call is no longer at its endpoint.
func (t *tables) release(p *placement) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !p.sent {
		t.quota.Return(limitKey(p.endpoint), 1)
	}
	rest := t.own[p.endpoint].Minus(p.load)
	if rest.Requests <= 0 {
		delete(t.own, p.endpoint)
		return
	}
	t.own[p.endpoint] = rest
}

// recordHealth records how an attempt ended for the endpoint's health and roll-out.
func (t *tables) recordHealth(endpoint setup.Endpoint, kind health.OutcomeKind, predicted, actual time.Duration, now time.Time) []health.Command {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.countRolloutResponse(endpoint, kind, now)
	var commands []health.Command
	t.health, commands = t.health.Update(health.Outcome{
		Time: now, Instance: endpoint.ID, Route: endpoint.Service, Version: endpoint.Version, Kind: kind,
		Predicted: predicted, Actual: actual,
	})
	return commands
}

// excludeMisdirected excludes an endpoint whose address belongs to another one, until it registers
// again.
func (t *tables) excludeMisdirected(endpoint setup.Endpoint) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.misdirected[endpoint.ID] = endpoint.StartedAtMS
}

// recordLeaving records that an endpoint has said in a response that it is leaving.
func (t *tables) recordLeaving(endpoint setup.Endpoint) []roster.Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var changes []roster.Change
	t.roster, changes = t.roster.Update(roster.LeavingAnnounced{Endpoint: endpoint})
	t.stale = t.stale || len(changes) > 0
	return changes
}

// recordRejection records until when an endpoint wants no requests, and reports whether it took them before.
func (t *tables) recordRejection(endpoint setup.Endpoint, until, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	// What is derived from the roster doesn't depend on rejections, of which there may be many.
	var changes []roster.Change
	t.roster, changes = t.roster.Update(roster.Rejected{Endpoint: endpoint, Until: until, Now: now})
	return len(changes) > 0
}

// takeAllowance takes a request's cost from its client account's allowance, if that suffices.
func (t *tables) takeAllowance(account string, cost float64, now time.Time) quota.Decision {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.quota.Take(account, cost, now)
}

// returnAllowance returns the cost of a request that no endpoint ran.
func (t *tables) returnAllowance(account string, cost float64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.quota.Return(account, cost)
}

// countUsage counts a request that started to run for the usage report.
func (t *tables) countUsage(account string, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.usage.Count(account, at)
}
