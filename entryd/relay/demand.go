package relay

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"lentilstage.dev/decide/admit"
	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/share"
	"lentilstage.dev/domain/setup"
)

type (
	// serviceDemand is what callers ask of a service at this daemon, and what this daemon has promised those that it
	// refused.
	serviceDemand struct {
		offered, refused *share.Meter
		schedule         *admit.Schedule
		supply           share.Supply
		division         *share.Division
		// capacity is the work per second that the endpoints completed at the last tick.
		capacity float64
	}

	// demandShare is the demand of one or more daemons, in seconds of endpoint time.
	demandShare struct {
		// offered is the work per second by short identifiers of client accounts.
		offered  map[uint32]float64
		refused  float64
		promised map[int64]float64
	}

	// demandKey identifies whose demand a request is.
	demandKey struct{ service, account, route string }

	// standing is what is known when a request arrives.
	standing struct {
		// spent is the part of its usual time that the request has spent before, returned whether it was refused then.
		spent    float64
		returned bool
		// expected is the time that endpoints need for requests that were told to return about now.
		expected time.Duration
		// division is how the request stands in the division of the capacity between accounts, share the part of its
		// account's requests that has room.
		division share.Standing
		share    float64
		// urgentTarget is the lowest target of more urgent routes of the service in a shortage; 0 if there are none.
		urgentTarget time.Duration
	}

	// shortageChange reports that a shortage of a service has begun or ended.
	shortageChange struct {
		service                    string
		short                      bool
		offered, refused, capacity float64
		// accounts is the number of accounts, above that of those that ask for more than their share.
		accounts, above int
	}

	// promise is when a refused caller should return, with what that was based on.
	promise struct {
		admit.Promise
		// Offered, Capacity and Usual are work per second in seconds of endpoint time.
		Offered, Capacity, Usual float64
	}

	// messageKind tells messages with demands apart, which are sent at different times.
	messageKind int
)

const (
	digestKind messageKind = iota
	sumKind
	totalsKind
)

const (
	// demandInterval is the pause between messages with demands while nothing is refused or promised.
	demandInterval = time.Second
	// demandTTL is how long a peer's demand holds without a newer one. After it, this daemon's own demand stands for
	// that of each daemon.
	demandTTL = 2 * time.Second
	// maxReportedAccounts limits the accounts of a service in a message; otherAccounts stands for the others.
	maxReportedAccounts = 64
	otherAccounts       = 0
	// plainRequestSeconds is the time that a request to a plain service occupies a slot.
	plainRequestSeconds = 0.05
)

// workSeconds returns the endpoint time that a request takes.
func workSeconds(r choice.Request, uncached, slots int) float64 {
	if !r.Model {
		return plainRequestSeconds / float64(max(slots, 1))
	}
	return engineTimeMS(r, uncached, slots) / 1000
}

// serviceDemand returns the demand of a service at this daemon. The caller holds the lock.
func (t *tables) serviceDemand(service string) *serviceDemand {
	s := t.demand[service]
	if s == nil {
		s = &serviceDemand{offered: share.NewMeter(), refused: share.NewMeter(), schedule: admit.NewSchedule(), division: share.NewDivision(t.phase)}
		t.demand[service] = s
	}
	return s
}

// setFleet sets the number of known daemons and the difference between the time of day that they agree on and this
// daemon's clock.
func (t *tables) setFleet(daemons int, wallOffset time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.daemons, t.wallOffset = daemons, wallOffset
}

// wall returns the time of day that the daemons agree on. The caller holds the lock.
func (t *tables) wall(now time.Time) time.Time { return now.Add(t.wallOffset) }

// demandKey returns whose demand the request is.
func (x *exchange) demandKey() demandKey {
	return demandKey{service: x.service, account: x.account.Name, route: x.route.Name}
}

// standing returns what is known of a request that arrives and whose caller waits until a time.
func (t *tables) standing(key demandKey, waitsUntil, now time.Time) standing {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s := standing{share: 1}
	s.spent = t.patience.Spent(key.route+"\x00"+key.account, waitsUntil.Sub(now), now)
	s.returned = admit.Request{Spent: s.spent}.Returns()
	if d, known := t.demand[key.service]; known {
		s.expected = d.schedule.Expected(admit.Outlook{Capacity: d.capacity}, t.wall(now))
		if d.division.Short() {
			account := shortID(key.account)
			s.division, s.share = d.division.Take(account, s.returned), d.division.Fraction(account)
			s.urgentTarget = urgentTarget(t.config, key)
		}
	}
	return s
}

// urgentTarget returns the lowest target of the routes of a service that are more urgent than a request's; 0 if there are
// none.
func urgentTarget(config *setup.Config, key demandKey) time.Duration {
	own := slices.IndexFunc(config.Routes, func(r setup.Route) bool { return r.Name == key.route })
	if own < 0 {
		return 0
	}
	var lowest time.Duration
	for _, r := range config.Routes {
		serves := slices.ContainsFunc(r.ServiceWeights, func(w setup.ServiceWeight) bool { return w.Service == key.service })
		if serves && r.Priority < config.Routes[own].Priority && r.LatencyTarget > 0 && (lowest == 0 || r.LatencyTarget < lowest) {
			lowest = r.LatencyTarget
		}
	}
	return lowest
}

// refuse counts a request that is refused for overload and returns when its caller should send it again.
func (t *tables) refuse(key demandKey, r admit.Return, random float64, now time.Time) promise {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refresh(now)
	d := t.serviceDemand(key.service)
	d.refused.Add("", r.Work, now)
	outlook := t.outlook(key.service, now)
	r.Earliest, r.Deadline = t.wall(r.Earliest), t.wall(r.Deadline)
	p := promise{Promise: d.schedule.Promise(r, outlook, random, t.wall(now)), Offered: outlook.Offered, Capacity: outlook.Capacity, Usual: d.schedule.Usual()}
	p.RetryAt = now.Add(p.RetryAt.Sub(t.wall(now)))
	return p
}

// readySpeed returns the sum of the speeds of the endpoints of a service that may get requests, as multiples of the usual
// one. The caller holds the lock.
func (t *tables) readySpeed(service string) float64 {
	sum := 0.0
	for _, e := range t.endpoints {
		if e.Service == service && t.available(e) {
			// It is 0 if the endpoints don't differ.
			sum += cmp.Or(t.speeds.factor(e), 1)
		}
	}
	return sum
}

// outlook returns what is known of the work of a service on all daemons. The caller holds the lock.
func (t *tables) outlook(service string, now time.Time) admit.Outlook {
	d := t.serviceDemand(service)
	offered := 0.0
	for _, rate := range d.offered.Rates(now) {
		offered += rate
	}
	for _, rate := range t.othersDemand(service, now).offered {
		offered += rate
	}
	return admit.Outlook{Capacity: d.supply.Capacity(t.readySpeed(service)), Offered: offered}
}

// othersDemand returns the demand of the other daemons. The caller holds the lock.
func (t *tables) othersDemand(service string, now time.Time) demandShare {
	id := shortID(service)
	if t.followsHub && now.Sub(t.hubState.demandAt) <= demandTTL {
		sum := newDemandShare()
		sum.add(t.hubState.demand[id], 1)
		return sum
	}
	own := t.ownShare(service, now)
	var all demandShare
	if t.followsHub {
		// Nobody sends this daemon what it would need as a hub.
		all = t.fleetDemand(own, id, now)
	} else {
		all = t.fleetDemand(own, id, now, t.peers, t.centres)
	}
	all.add(own, -1)
	return all
}

// heardDemand returns this daemon's demand with the recent one of peers, and the number of daemons that it covers. The
// caller holds the lock.
func (t *tables) heardDemand(own demandShare, service uint32, now time.Time, peers ...map[string]peerState) (demandShare, int) {
	sum, heard := newDemandShare(), 1
	sum.add(own, 1)
	for _, states := range peers {
		for _, p := range states {
			if now.Sub(p.demandAt) <= demandTTL {
				sum.add(p.demand[service], 1)
				heard += max(p.daemons, 1)
			}
		}
	}
	return sum, heard
}

// fleetDemand returns the demand of all daemons: this one's with that of peers. Daemons that have not been heard of for
// demandTTL count as much as the others on average, since their callers are there all the same. The caller holds the lock.
func (t *tables) fleetDemand(own demandShare, service uint32, now time.Time, peers ...map[string]peerState) demandShare {
	sum, heard := t.heardDemand(own, service, now, peers...)
	if factor := float64(t.daemons) / float64(heard); factor > 1 {
		for account := range sum.offered {
			sum.offered[account] *= factor
		}
		sum.refused *= factor
	}
	return sum
}

// ownShare returns this daemon's own demand. The caller holds the lock.
func (t *tables) ownShare(service string, now time.Time) demandShare {
	own := newDemandShare()
	d, known := t.demand[service]
	if !known {
		return own
	}
	for account, rate := range d.offered.Rates(now) {
		own.offered[shortID(account)] += rate
	}
	own.refused, own.promised = d.refused.Rates(now)[""], d.schedule.Own()
	return own
}

func newDemandShare() demandShare {
	return demandShare{offered: map[uint32]float64{}, promised: map[int64]float64{}}
}

func (s *demandShare) add(o demandShare, factor float64) {
	for account, rate := range o.offered {
		s.offered[account] += factor * rate
	}
	s.refused += factor * o.refused
	for slot, work := range o.promised {
		s.promised[slot] += factor * work
	}
}

// without returns demands without a part of them.
func without(all, part map[uint32]demandShare) map[uint32]demandShare {
	for service, s := range all {
		s.add(part[service], -1)
		maps.DeleteFunc(s.offered, func(_ uint32, rate float64) bool { return rate <= 0 })
		maps.DeleteFunc(s.promised, func(_ int64, work float64) bool { return work <= 0 })
		s.refused = max(0, s.refused)
		all[service] = s
	}
	return all
}

// tickDemand takes up what the last messages tell of the demand and removes what is past. The caller holds the lock.
func (t *tables) tickDemand(now time.Time) {
	for service, d := range t.demand {
		all := t.othersDemand(service, now)
		d.schedule.SetOthers(all.promised, t.wall(now))
		outlook := t.outlook(service, now)
		own := t.ownShare(service, now)
		own.promised = nil
		all.add(own, 1)
		d.supply = d.supply.With(outlook.Offered, all.refused, t.readySpeed(service), now)
		d.capacity = outlook.Capacity
		d.schedule.Update(outlook, t.wall(now))
		if d.division.Update(share.Load{Offered: all.offered, Refused: all.refused, Capacity: outlook.Capacity}, now) {
			t.shortageChanges = append(t.shortageChanges, shortageChange{
				service: service, short: d.division.Short(), offered: outlook.Offered, refused: all.refused, capacity: outlook.Capacity,
				accounts: len(all.offered), above: d.division.Above(),
			})
		}
	}
}

// drainShortages returns the shortages that have begun or ended since the last call.
func (t *tables) drainShortages() []shortageChange {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	changes := t.shortageChanges
	t.shortageChanges = nil
	return changes
}

// serviceLoads returns the demand of each service for the gauges.
func (t *tables) serviceLoads(now time.Time) map[string]serviceGauges {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	loads := make(map[string]serviceGauges, len(t.demand))
	for service, d := range t.demand {
		outlook := t.outlook(service, now)
		loads[service] = serviceGauges{offered: outlook.Offered, capacity: outlook.Capacity, above: d.division.Above()}
	}
	return loads
}

// serviceGauges is what the gauges tell of a service.
type serviceGauges struct {
	offered, capacity float64
	above             int
}

// logDemand logs shortages that have begun or ended, and sets the gauges.
func (d *Daemon) logDemand() {
	logger := d.logger.WithName("demand")
	for _, c := range d.tables.drainShortages() {
		message := "Shortage ended."
		if c.short {
			message = "Shortage began."
			d.meters.count("Shortages.Begun")
		}
		logger.Info(message, "Service", c.service, "Offered", c.offered, "Refused", c.refused, "Capacity", c.capacity,
			"Accounts", c.accounts, "AboveShare", c.above)
	}
	for service, g := range d.tables.serviceLoads(d.clock.now()) {
		d.meters.setGauge("Demand.OfferedMilliseconds."+service, int64(toMilliseconds(g.offered)))
		d.meters.setGauge("Demand.CapacityMilliseconds."+service, int64(toMilliseconds(g.capacity)))
		d.meters.setGauge("Demand.AccountsAboveShare."+service, int64(g.above))
	}
}

// demandReports returns the demands of this daemon and of peers for a message: in each message while something is
// refused or promised, otherwise at intervals. The caller holds the lock.
func (t *tables) demandReports(kind messageKind, now time.Time, peers ...map[string]peerState) map[uint32]demandReport {
	own := map[uint32]demandShare{}
	for service := range t.demand {
		own[shortID(service)] = t.ownShare(service, now)
	}
	services := maps.Clone(own)
	for _, states := range peers {
		for _, p := range states {
			maps.Copy(services, p.demand)
		}
	}
	reports, busy := make(map[uint32]demandReport, len(services)), false
	for id := range services {
		sum := own[id]
		switch kind {
		case sumKind:
			sum, _ = t.heardDemand(sum, id, now, peers...)
		case totalsKind:
			sum = t.fleetDemand(sum, id, now, peers...)
		}
		reports[id] = newDemandReport(sum, t.wall(now))
		busy = busy || reports[id].Refused > 0 || len(reports[id].Promised) > 0
	}
	if !busy && now.Sub(t.demandSentAt[kind]) < demandInterval {
		return nil
	}
	t.demandSentAt[kind] = now
	if kind == digestKind {
		t.ownDemand = own
	}
	return reports
}

// newDemandReport returns a demand for a message. The accounts that offer least are added up if there are many.
func newDemandReport(s demandShare, wall time.Time) demandReport {
	r := demandReport{Offered: make(map[uint32]int, len(s.offered)), Refused: toMilliseconds(s.refused)}
	r.FirstSlot, r.Promised = admit.Pack(s.promised, wall)
	accounts := slices.SortedFunc(maps.Keys(s.offered), func(a, b uint32) int {
		return cmp.Or(cmp.Compare(s.offered[b], s.offered[a]), cmp.Compare(a, b))
	})
	for i, account := range accounts {
		if i >= maxReportedAccounts {
			account = otherAccounts
		}
		if ms := toMilliseconds(s.offered[accounts[i]]); ms > 0 {
			r.Offered[account] += ms
		}
	}
	return r
}

func toMilliseconds(seconds float64) int { return int(math.Round(seconds * 1000)) }

// readDemand returns the demands in a message.
func readDemand(reports map[uint32]demandReport, wall time.Time) map[uint32]demandShare {
	demand := make(map[uint32]demandShare, len(reports))
	for id, r := range reports {
		s := demandShare{
			offered: make(map[uint32]float64, len(r.Offered)), refused: max(0, float64(r.Refused)/1000),
			promised: admit.Unpack(r.FirstSlot, r.Promised, wall),
		}
		for account, ms := range r.Offered {
			s.offered[account] = max(0, float64(ms)/1000)
		}
		demand[id] = s
	}
	return demand
}
