// Package quota enforces the allowances of client accounts over all daemons without a central
// counter.
//
// Each daemon keeps a token bucket for every account. It deducts its own requests at once and
// those of its peers when their digests arrive. Between two digests a peer is assumed to
// continue at its last rate, and the next digest corrects the estimate. A silent peer is assumed
// to use its equal share of the burst and of the rate, and its peers assume the same of this
// daemon: daemons that are partitioned from each other keep to their equal shares.
//
// The requests that an endpoint takes from all daemons together are limited in the same way, under a key
// that no account has.
//
// # Usage
//
//	state := quota.New(quota.InitialFraction, phase)
//	state.Update(quota.Configured{Accounts: accounts, Now: now})
//	decision := state.Take("counter", 1540, now)
//
// The methods change the state in place and are not safe for concurrent use.
package quota

import (
	"maps"
	"math"
	"time"

	"lentilstage.dev/domain/setup"
)

type (
	// Message is an input of the state.
	Message interface {
		message()
	}

	// Configured replaces the accounts with those of a configuration.
	Configured struct {
		Accounts map[string]setup.Account
		Now      time.Time
	}

	// Merge merges the use that a peer reports since its start, by account. A peer may report for
	// several daemons.
	Merge struct {
		Daemon      string
		Incarnation string
		// Daemons is the number of daemons that the peer reports for; less than 1 means 1.
		Daemons int
		// Silent is the number of those daemons that the peer receives no digests from.
		Silent int
		Used   map[string]float64
		// Recent is the portion of Used that can't have been deducted before, since its daemons
		// have just started. It is deducted with the first report of the peer.
		Recent map[string]float64
		// SilentAt is when the peer counts as silent unless it reports again; zero means 700 ms after
		// Now.
		SilentAt time.Time
		Now      time.Time
	}

	// Reset removes all peers. Other peers will report in their place.
	Reset struct {
		Now time.Time
	}

	// Listed adds a peer that may not have reported yet. It counts as silent unless it reports within
	// 700 ms of Since; with a zero Since it counts as silent at once.
	Listed struct {
		Daemon string
		// Daemons is the number of daemons that the peer stands for; less than 1 means 1.
		Daemons int
		Since   time.Time
		Now     time.Time
	}

	// PeerRemoved removes a peer that will not return. What was deducted for it stays deducted.
	PeerRemoved struct {
		Daemon string
		Now    time.Time
	}

	// PeerReduced states how many daemons a peer reports for after some of them have left. A silent peer can't
	// state it itself.
	PeerReduced struct {
		Daemon  string
		Daemons int
		Now     time.Time
	}

	// Decision is the result of Take.
	Decision struct {
		Admitted bool
		// RetryAt is when the account will have the allowance if no other request takes it.
		RetryAt time.Time
		// Level is the account's allowance before the request, in the units of its rate.
		Level float64
	}

	// State is one daemon's view of all allowances.
	State struct {
		// startFraction is the fraction of the burst that new buckets start with.
		startFraction float64
		// phase is the offset of this daemon's turn as a fraction of rotationPeriod, from 0 up to 1.
		phase float64
		// bootstrapUntil is the end of the time in which a restarted daemon assumes that it has
		// peers although it knows of none. It is zero for other daemons and afterwards.
		bootstrapUntil time.Time
		accounts       map[string]*bucket
		peers          map[string]*peer
		used           map[string]float64
		// refilledAt is the time up to which all buckets are refilled.
		refilledAt time.Time
	}

	bucket struct {
		account setup.Account
		// ofEndpoint is set for the limit of an endpoint, which no configuration has.
		ofEndpoint bool
		// cold is set for the limit of a cold endpoint, whose burst is small.
		cold      bool
		level     float64
		updatedAt time.Time
		// offered is the cost of the recent requests at this daemon, admitted or not, as of
		// offeredAt. It decays exponentially over offeredWindow.
		offered   float64
		offeredAt time.Time
	}

	peer struct {
		incarnation string
		daemons     float64
		// silentMembers is the number of daemons behind the peer that are silent to it, and
		// reserved the allowance that was deducted for them, by account.
		silentMembers float64
		reserved      map[string]float64
		used          map[string]float64
		// assumed is the use that was deducted for the peer since its last report, and rates its
		// average use per second over its last reports, both by account.
		assumed    map[string]float64
		rates      map[string]float64
		reportedAt time.Time
		// silentAt is when the peer counts as silent, silent whether it does.
		silentAt time.Time
		silent   bool
	}
)

const (
	// silenceTimeout is the time without a report after which a peer is assumed to use its equal
	// share; digests are sent several times a second.
	silenceTimeout = 700 * time.Millisecond
	// rateWeight is the weight of the latest report in the moving average of a peer's rate.
	rateWeight = 0.5
	// InitialFraction and RestartFraction are the fractions of the burst in the buckets of a new and of a
	// restarted daemon. A restarted daemon does not know the use of the last seconds.
	InitialFraction = 1.0
	RestartFraction = 0.4
	// bootstrapFraction of its buckets and of the rate is available to a restarted daemon that
	// knows of no peer yet, for at most bootstrapTimeout: all daemons may have been killed at once.
	bootstrapFraction = 0.05
	bootstrapTimeout  = 2 * time.Second
	// rotationPeriod is the time in which each daemon has one turn to admit requests at a low level.
	rotationPeriod = time.Second
	// offeredWindow is the time constant of the offered cost. It spans several seconds because
	// the largest requests cost as much as an account's usual requests of several seconds at one
	// of many daemons.
	offeredWindow = 3 * time.Second
	// overrunFraction of the burst may be admitted in excess before the other daemons know of it.
	// The platform tolerates an excess of a tenth over a window of some seconds.
	overrunFraction = 0.05
	// propagationDelay is the time until all daemons know the use of up to propagationDaemons
	// daemons: from a daemon to its hub, to the other hubs and to their followers, each at an
	// interval of 100 ms. With more daemons it grows in proportion, since the intervals do.
	propagationDelay   = 300 * time.Millisecond
	propagationDaemons = 60
)

// New returns a state whose buckets start with the given fraction of their burst. The phase,
// from 0 up to 1, must differ between daemons so that they don't all admit at the same time.
func New(startFraction, phase float64) *State {
	return &State{startFraction: startFraction, phase: phase, accounts: map[string]*bucket{}, peers: map[string]*peer{}, used: map[string]float64{}}
}

// Update applies a message.
func (s *State) Update(message Message) {
	switch m := message.(type) {
	case Configured:
		s.configure(m)
	case Merge:
		s.applyReport(m)
	case Listed:
		p, known := s.peers[m.Daemon]
		if !known {
			s.advance(m.Now)
			p = newPeer("", nil, m.Since)
			s.peers[m.Daemon] = p
		}
		if p.incarnation == "" {
			p.daemons = float64(max(m.Daemons, 1))
		}
	case Reset:
		s.advance(m.Now)
		for _, p := range s.peers {
			s.refundAssumed(p)
		}
		clear(s.peers)
	case PeerRemoved:
		s.advance(m.Now)
		delete(s.peers, m.Daemon)
	case PeerReduced:
		s.advance(m.Now)
		if p, known := s.peers[m.Daemon]; known {
			p.daemons = min(p.daemons, float64(max(m.Daemons, 1)))
			p.removeSilent(p.silentMembers - p.daemons)
		}
	case EndpointLimited:
		s.limitEndpoint(m)
	case EndpointUnlimited:
		if b, ok := s.accounts[m.Key]; ok && b.ofEndpoint {
			delete(s.accounts, m.Key)
			delete(s.used, m.Key)
		}
	}
}

func (s *State) configure(m Configured) {
	if len(s.accounts) == 0 && s.startFraction < InitialFraction {
		s.bootstrapUntil = m.Now.Add(bootstrapTimeout)
	}
	s.advance(m.Now)
	for name, a := range m.Accounts {
		b, known := s.accounts[name]
		if !known {
			s.accounts[name] = &bucket{account: a, level: a.Burst * s.startFraction, updatedAt: m.Now}
			continue
		}
		if a.Burst > b.account.Burst {
			b.level += a.Burst - b.account.Burst
		}
		b.account = a
		b.level = min(b.level, a.Burst)
	}
	for name, b := range s.accounts {
		if _, ok := m.Accounts[name]; !ok && !b.ofEndpoint {
			delete(s.accounts, name)
		}
	}
}

func (s *State) applyReport(m Merge) {
	s.advance(m.Now)
	p, known := s.peers[m.Daemon]
	if !known || p.incarnation != m.Incarnation {
		// The first report of a peer holds its use so far. Only the recent use and the use after
		// this report are deducted, since the time of the rest is unknown.
		if known {
			s.refundAssumed(p)
		}
		p = newPeer(m.Incarnation, m.Used, m.Now)
		p.daemons = float64(max(m.Daemons, 1))
		p.silentAt = m.silentAt()
		s.peers[m.Daemon] = p
		s.setSilentMembers(p, m.Silent)
		for name, used := range m.Recent {
			if b, ok := s.accounts[name]; ok {
				b.level -= used
			}
		}
		return
	}
	seconds := m.Now.Sub(p.reportedAt).Seconds()
	for name, used := range m.Used {
		b, ok := s.accounts[name]
		if !ok {
			continue
		}
		increase := max(0, used-p.used[name])
		b.level = min(b.level-increase+p.assumed[name], b.account.Burst)
		if seconds > 0 && !p.silent {
			p.rates[name] += rateWeight * (increase/seconds - p.rates[name])
		}
	}
	daemons := float64(max(m.Daemons, 1))
	p.removeSilent(min(p.daemons-daemons, p.silentMembers-float64(m.Silent)))
	p.used, p.reportedAt, p.silent, p.daemons = m.Used, m.Now, false, daemons
	p.silentAt = m.silentAt()
	clear(p.assumed)
	s.setSilentMembers(p, m.Silent)
}

func (m Merge) silentAt() time.Time {
	if m.SilentAt.IsZero() {
		return m.Now.Add(silenceTimeout)
	}
	return m.SilentAt
}

// removeSilent removes some of the silent daemons behind the peer, which will not return. What was deducted for
// them stays deducted: they may have used it, and nobody reports it.
func (p *peer) removeSilent(count float64) {
	if count <= 0 || p.silentMembers <= 0 {
		return
	}
	rest := max(0, p.silentMembers-count)
	for name := range p.reserved {
		p.reserved[name] *= rest / p.silentMembers
	}
	p.silentMembers = rest
}

// setSilentMembers deducts the equal shares of the daemons that have fallen silent to a peer. It
// refunds what was deducted for those that the peer receives digests from again, since the peer
// now reports their use.
func (s *State) setSilentMembers(p *peer, silent int) {
	silentMembers := min(float64(silent), p.daemons)
	switch reachable, _ := s.countDaemons(); {
	case silentMembers > p.silentMembers:
		for name, b := range s.accounts {
			if share := b.level * (silentMembers - p.silentMembers) / reachable; share > 0 {
				b.level -= share
				p.reserved[name] += share
			}
		}
	case silentMembers < p.silentMembers:
		share := (p.silentMembers - silentMembers) / p.silentMembers
		for name, reserved := range p.reserved {
			if b, ok := s.accounts[name]; ok {
				b.level += reserved * share
			}
			p.reserved[name] -= reserved * share
		}
	}
	p.silentMembers = silentMembers
}

// refundAssumed refunds the assumed use of a peer that was listed but has not reported, since
// that use is now reported by the peer itself or by another one.
func (s *State) refundAssumed(p *peer) {
	if p.incarnation != "" {
		return
	}
	for name, assumed := range p.assumed {
		if b, ok := s.accounts[name]; ok {
			b.level += assumed
		}
	}
}

func newPeer(incarnation string, used map[string]float64, reportedAt time.Time) *peer {
	return &peer{
		incarnation: incarnation, daemons: 1, used: used, reportedAt: reportedAt, silentAt: reportedAt.Add(silenceTimeout),
		assumed: map[string]float64{}, rates: map[string]float64{}, reserved: map[string]float64{},
	}
}

// advance refills the buckets up to a time and deducts the use that is assumed for the peers.
func (s *State) advance(now time.Time) {
	if !s.bootstrapUntil.IsZero() && now.After(s.bootstrapUntil) {
		s.refill(s.bootstrapUntil)
		s.bootstrapUntil = time.Time{}
	}
	s.refill(now)
}

func (s *State) refill(now time.Time) {
	if now.Equal(s.refilledAt) {
		return
	}
	s.refilledAt = now
	s.markSilentPeers(now)
	reachable, daemons := s.countDaemons()
	fraction, refillFactor := reachable/daemons, 1.0
	if s.bootstrapping() {
		refillFactor = bootstrapFraction
	}
	for name, b := range s.accounts {
		seconds := now.Sub(b.updatedAt).Seconds()
		if seconds <= 0 {
			continue
		}
		b.level += b.account.Rate * refillFactor * seconds
		for _, p := range s.peers {
			rate := p.rates[name]
			if p.silent {
				rate = b.account.Rate * p.daemons / daemons
			}
			b.level -= rate * seconds
			p.assumed[name] += rate * seconds
			if !p.silent && p.silentMembers > 0 {
				reserved := b.account.Rate * p.silentMembers / daemons * seconds
				b.level -= reserved
				p.reserved[name] += reserved
			}
		}
		b.level = min(b.level, b.account.Burst*fraction)
		b.updatedAt = now
	}
}

// margin returns the level that this daemon currently leaves to the other daemons: the cost that
// they may admit before it receives their digests, scaled by this daemon's current phase, so that
// each daemon in turn has the smallest margin. Without a margin, all daemons see the same
// level until the next digests and each admits requests against it: with 83 daemons behind hubs,
// 2.3 million tokens were admitted in a quarter of a second, of an allowance of 0.6 million per
// second, when the level of a flooding account had just become positive.
func (s *State) margin(b *bucket, now time.Time) float64 {
	_, daemons := s.countDaemons()
	elapsed := float64(now.UnixNano()%int64(rotationPeriod)) / float64(rotationPeriod)
	_, phase := math.Modf(s.phase + elapsed)
	unreportedSeconds := propagationDelay.Seconds() * max(1, daemons/propagationDaemons)
	// The other daemons are assumed to be offered the same load as this one.
	offeredElsewhere := (daemons - 1) * b.offered / offeredWindow.Seconds() * unreportedSeconds
	margin := max(0, offeredElsewhere-overrunFraction*b.account.Burst)
	if b.cold {
		margin = min(margin, coldMargin*max(b.account.Burst, daemons-1))
	}
	if !b.ofEndpoint {
		// An account may always use a full bucket.
		margin = min(margin, b.account.Burst)
	}
	return phase * margin
}

// recordOffered adds the cost of a request, admitted or not, to the offered cost.
func (b *bucket) recordOffered(cost float64, now time.Time) {
	if seconds := now.Sub(b.offeredAt).Seconds(); seconds > 0 {
		b.offered *= math.Exp(-seconds / offeredWindow.Seconds())
		b.offeredAt = now
	}
	b.offered += cost
}

// bootstrapping reports whether this daemon has restarted and knows of no peer yet.
func (s *State) bootstrapping() bool { return len(s.peers) == 0 && !s.bootstrapUntil.IsZero() }

// markSilentPeers marks the peers that have fallen silent and deducts their equal shares.
func (s *State) markSilentPeers(now time.Time) {
	for _, p := range s.peers {
		if p.silent || !now.After(p.silentAt) {
			continue
		}
		reachable, _ := s.countDaemons()
		p.silent = true
		for name, b := range s.accounts {
			if share := b.level * (p.daemons - p.silentMembers) / reachable; share > 0 {
				b.level -= share
				p.assumed[name] += share
			}
		}
	}
}

// Silent returns the number of daemons that are silent, to this daemon or to the peer that reports
// for them.
func (s *State) Silent(now time.Time) int {
	s.advance(now)
	count := 0.0
	for _, p := range s.peers {
		if p.silent {
			count += p.daemons
		} else {
			count += p.silentMembers
		}
	}
	return int(count)
}

// SilentAmong returns how many of the daemons with these names are silent, of those that report for
// themselves.
func (s *State) SilentAmong(names []string, now time.Time) int {
	s.advance(now)
	count := 0
	for _, name := range names {
		if p, known := s.peers[name]; !known || p.silent {
			count++
		}
	}
	return count
}

// countDaemons returns the number of daemons that are not silent and of all daemons, both
// including this one.
func (s *State) countDaemons() (reachable, daemons float64) {
	reachable, daemons = 1, 1
	for _, p := range s.peers {
		daemons += p.daemons
		if !p.silent {
			reachable += p.daemons - p.silentMembers
		}
	}
	return reachable, daemons
}

// Take admits a request and deducts its cost from the account's allowance, or refuses it. It
// admits all requests of an account that is unknown or has no limit.
func (s *State) Take(account string, cost float64, now time.Time) Decision {
	b, ok := s.accounts[account]
	if !ok || b.account.Rate <= 0 {
		return Decision{Admitted: true}
	}
	d := s.check(b, cost, now)
	b.recordOffered(cost, now)
	if d.Admitted {
		b.level -= cost
		s.used[account] += cost
	}
	return d
}

// check decides on a request without deducting its cost.
func (s *State) check(b *bucket, cost float64, now time.Time) Decision {
	s.advance(now)
	// A request larger than the burst needs a full bucket and leaves a negative level.
	need := min(cost, b.account.Burst)
	if s.bootstrapping() {
		need += b.account.Burst * s.startFraction * (1 - bootstrapFraction)
	}
	if b.level < need {
		return refuse(b, need, now)
	}
	needWithMargin := need + s.margin(b, now)
	if !b.ofEndpoint {
		needWithMargin = min(needWithMargin, max(need, b.account.Burst))
	}
	if b.level < needWithMargin {
		return refuse(b, min(needWithMargin, max(need, b.account.Burst)), now)
	}
	return Decision{Admitted: true, Level: b.level}
}

// refuse returns the refusal of a request that needs the given level.
func refuse(b *bucket, need float64, now time.Time) Decision {
	wait := time.Duration((need - b.level) / b.account.Rate * float64(time.Second))
	return Decision{RetryAt: now.Add(wait), Level: b.level}
}

// Return refunds the cost of a request that no endpoint has run.
func (s *State) Return(account string, cost float64) {
	b, ok := s.accounts[account]
	if !ok || b.account.Rate <= 0 {
		return
	}
	b.level = min(b.level+cost, b.account.Burst)
	s.used[account] = max(0, s.used[account]-cost)
}

// Used returns a copy of this daemon's use since its start, by account, for its digest.
func (s *State) Used() map[string]float64 {
	return maps.Clone(s.used)
}

func (Configured) message()  {}
func (Merge) message()       {}
func (Listed) message()      {}
func (Reset) message()       {}
func (PeerRemoved) message() {}
func (PeerReduced) message() {}
