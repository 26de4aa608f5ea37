// Package quota keeps client accounts to their allowances over all daemons without a
// central counter.
//
// Each daemon keeps every account's token bucket. Its own requests are taken off at once and
// the peers' as their digests tell of them. Between two digests a peer is taken to go on at
// its last rate, and the next digest corrects that. A peer that is silent is taken to use its
// even part of the burst and of the rate, and so is this daemon by its peers: daemons that
// are cut off from each other keep to their even parts.
//
// # Usage
//
//	state := quota.New(quota.FullStart, phase)
//	state = state.Update(quota.Configured{Accounts: accounts, Now: now})
//	verdict := state.Take("counter", 1540, now)
//
// Update and Take change the state in place; one owner calls them.
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

	// Configured brings the accounts of a configuration.
	Configured struct {
		Accounts map[string]setup.Account
		Now      time.Time
	}

	// Heard brings what a peer has used since its start, by account. A peer may stand for
	// several daemons.
	Heard struct {
		Daemon      string
		Incarnation string
		Daemons     int
		// Silent is how many of the daemons that the peer stands for are not heard by it.
		Silent int
		Used   map[string]float64
		// Recent is the part of Used that can't have been counted before, since its daemons have
		// just started. It is taken off when the peer is heard for the first time.
		Recent map[string]float64
		Now    time.Time
	}

	// Reset drops all peers, since others will be heard in their place.
	Reset struct {
		Now time.Time
	}

	// Listed says that a daemon is known though it may not have been heard. It counts as silent
	// unless it is heard soon after Since; a zero Since makes it so at once.
	Listed struct {
		Daemon string
		Since  time.Time
		Now    time.Time
	}

	// Forgotten says that a peer is gone for good.
	Forgotten struct {
		Daemon string
		Now    time.Time
	}

	// Verdict is the answer to a request for an allowance.
	Verdict struct {
		Admitted bool
		// RetryAt is when the allowance will be there, if no one else takes it.
		RetryAt time.Time
		// Level is the account's allowance before the request, in units.
		Level float64
	}

	// State is one daemon's view of all allowances.
	State struct {
		startPart float64
		// phase is where in turnTime this daemon's turn begins.
		phase float64
		// blindUntil ends the time in which a daemon that has started again takes others to be
		// there though it knows of none; zero once it knows of one.
		blindUntil time.Time
		accounts   map[string]*bucket
		peers      map[string]*peer
		used       map[string]float64
	}

	bucket struct {
		account setup.Account
		level   float64
		at      time.Time
		// offered is the cost of the requests that came to this daemon lately, admitted or not, by the
		// time offeredAt; older ones weigh less.
		offered   float64
		offeredAt time.Time
	}

	peer struct {
		incarnation string
		daemons     float64
		// hidden is how many of the daemons the peer does not hear, and reserved what was taken
		// off for them.
		hidden   float64
		reserved map[string]float64
		used     map[string]float64
		// assumed is what was taken off for the peer since its last digest, and rates what it
		// used a second between its last digests.
		assumed map[string]float64
		rates   map[string]float64
		heardAt time.Time
		silent  bool
	}
)

const (
	// silentAfter is how long a peer may be silent before an even part is assumed; digests
	// come several times a second.
	silentAfter = 700 * time.Millisecond
	// rateWeight is the weight of the newest digest in a peer's rate.
	rateWeight = 0.5
	// FullStart and RestartStart are the parts of a burst in a new daemon's buckets. A daemon
	// that starts again does not know what the account has used in the last seconds.
	FullStart    = 1.0
	RestartStart = 0.4
	// blindPart of its buckets is what a daemon may take that has started again and knows of no
	// other one yet, for blindTime at most: all daemons may have been killed at once.
	blindPart = 0.05
	blindTime = 2 * time.Second
	// turnTime is the time in which each daemon takes its turn to admit at a low level.
	turnTime = time.Second
	// offeredTime is the time over which requests count as offered: the largest request of the users
	// is as much as an account's usual requests of several seconds at one of many daemons.
	offeredTime = 3 * time.Second
	// overrunPart of a burst may be admitted too much at a time: users tolerate a tenth of what an
	// account may have in some seconds.
	overrunPart = 0.05
	// newsTime is how long the use of up to newsDaemons takes to be known to all: two digests and the
	// way; with more daemons digests come less often.
	newsTime    = 300 * time.Millisecond
	newsDaemons = 40
)

// New returns a state whose buckets start with the given part of their burst. The phase, from 0
// up to 1, differs between daemons: it keeps them from admitting all at the same moments.
func New(startPart, phase float64) *State {
	return &State{startPart: startPart, phase: phase, accounts: map[string]*bucket{}, peers: map[string]*peer{}, used: map[string]float64{}}
}

// Update takes in a message.
func (s *State) Update(message Message) {
	switch m := message.(type) {
	case Configured:
		s.configure(m)
	case Heard:
		s.heard(m)
	case Listed:
		if _, known := s.peers[m.Daemon]; !known {
			s.settle(m.Now)
			s.peers[m.Daemon] = newPeer("", nil, m.Since)
		}
	case Reset:
		s.settle(m.Now)
		for _, p := range s.peers {
			s.giveBack(p)
		}
		clear(s.peers)
	case Forgotten:
		s.settle(m.Now)
		delete(s.peers, m.Daemon)
	}
}

func (s *State) configure(m Configured) {
	if len(s.accounts) == 0 && s.startPart < FullStart {
		s.blindUntil = m.Now.Add(blindTime)
	}
	s.settle(m.Now)
	for name, a := range m.Accounts {
		b, known := s.accounts[name]
		if !known {
			s.accounts[name] = &bucket{account: a, level: a.Burst * s.startPart, at: m.Now}
			continue
		}
		if a.Burst > b.account.Burst {
			b.level += a.Burst - b.account.Burst
		}
		b.account = a
		b.level = min(b.level, a.Burst)
	}
	for name := range s.accounts {
		if _, ok := m.Accounts[name]; !ok {
			delete(s.accounts, name)
		}
	}
}

func (s *State) heard(m Heard) {
	s.settle(m.Now)
	p, known := s.peers[m.Daemon]
	if !known || p.incarnation != m.Incarnation {
		// The first digest of a peer tells what it has used so far. Only what is recent and what
		// comes after it is taken off, since the bucket can't tell when the rest was used.
		if known {
			s.giveBack(p)
		}
		p = newPeer(m.Incarnation, m.Used, m.Now)
		p.daemons = float64(max(m.Daemons, 1))
		s.peers[m.Daemon] = p
		s.hide(p, m.Silent)
		for name, used := range m.Recent {
			if b, ok := s.accounts[name]; ok {
				b.level -= used
			}
		}
		return
	}
	seconds := m.Now.Sub(p.heardAt).Seconds()
	for name, used := range m.Used {
		b, ok := s.accounts[name]
		if !ok {
			continue
		}
		more := max(0, used-p.used[name])
		b.level = min(b.level-more+p.assumed[name], b.account.Burst)
		if seconds > 0 && !p.silent {
			p.rates[name] += rateWeight * (more/seconds - p.rates[name])
		}
	}
	p.used, p.heardAt, p.silent, p.daemons = m.Used, m.Now, false, float64(max(m.Daemons, 1))
	clear(p.assumed)
	s.hide(p, m.Silent)
}

// hide takes the even parts of the daemons that a peer no longer hears off the levels, and gives
// back what was taken off for those that it hears again: what they have used is told now.
func (s *State) hide(p *peer, silent int) {
	hidden := min(float64(silent), p.daemons)
	switch heard, _ := s.sharing(); {
	case hidden > p.hidden:
		for name, b := range s.accounts {
			if part := b.level * (hidden - p.hidden) / heard; part > 0 {
				b.level -= part
				p.reserved[name] += part
			}
		}
	case hidden < p.hidden:
		part := (p.hidden - hidden) / p.hidden
		for name, reserved := range p.reserved {
			if b, ok := s.accounts[name]; ok {
				b.level += reserved * part
			}
			p.reserved[name] -= reserved * part
		}
	}
	p.hidden = hidden
}

// giveBack returns what a peer was taken to use that was known from the log alone, since what
// it has used is known now.
func (s *State) giveBack(p *peer) {
	if p.incarnation != "" {
		return
	}
	for name, assumed := range p.assumed {
		if b, ok := s.accounts[name]; ok {
			b.level += assumed
		}
	}
}

func newPeer(incarnation string, used map[string]float64, heardAt time.Time) *peer {
	return &peer{
		incarnation: incarnation, daemons: 1, used: used, heardAt: heardAt,
		assumed: map[string]float64{}, rates: map[string]float64{}, reserved: map[string]float64{},
	}
}

// settle fills the buckets up to a time and takes off what the peers are taken to have used.
func (s *State) settle(now time.Time) {
	if !s.blindUntil.IsZero() && now.After(s.blindUntil) {
		s.fill(s.blindUntil)
		s.blindUntil = time.Time{}
	}
	s.fill(now)
}

func (s *State) fill(now time.Time) {
	s.findSilent(now)
	heard, daemons := s.sharing()
	part, refill := heard/daemons, 1.0
	if s.blind() {
		refill = blindPart
	}
	for name, b := range s.accounts {
		seconds := now.Sub(b.at).Seconds()
		if seconds <= 0 {
			continue
		}
		b.level += b.account.Rate * refill * seconds
		for _, p := range s.peers {
			rate := p.rates[name]
			if p.silent {
				rate = b.account.Rate * p.daemons / daemons
			}
			b.level -= rate * seconds
			p.assumed[name] += rate * seconds
			if !p.silent && p.hidden > 0 {
				reserved := b.account.Rate * p.hidden / daemons * seconds
				b.level -= reserved
				p.reserved[name] += reserved
			}
		}
		b.level = min(b.level, b.account.Burst*part)
		b.at = now
	}
}

// margin returns the level that this daemon leaves to the others at present: what they may admit before
// it hears of it, less for each in turn. All see the same level until the next digests. With 83
// daemons behind hubs 2.3 million tokens were admitted in a quarter of a second, of an allowance of
// 0.6 million a second, when the level of a flooding account had just become positive.
func (s *State) margin(b *bucket, now time.Time) float64 {
	_, daemons := s.sharing()
	turn := float64(now.UnixNano()%int64(turnTime)) / float64(turnTime)
	_, phase := math.Modf(s.phase + turn)
	untold := newsTime.Seconds() * max(1, daemons/newsDaemons)
	// The others are offered as much as this daemon is.
	others := (daemons - 1) * b.offered / offeredTime.Seconds() * untold
	return phase * min(b.account.Burst, max(0, others-overrunPart*b.account.Burst))
}

// offer counts a request that has come, whatever becomes of it.
func (b *bucket) offer(cost float64, now time.Time) {
	if seconds := now.Sub(b.offeredAt).Seconds(); seconds > 0 {
		b.offered *= math.Exp(-seconds / offeredTime.Seconds())
		b.offeredAt = now
	}
	b.offered += cost
}

// blind reports whether this daemon has started again and knows of no other one yet.
func (s *State) blind() bool { return len(s.peers) == 0 && !s.blindUntil.IsZero() }

// findSilent marks the peers that have fallen silent and takes their even parts off the levels.
func (s *State) findSilent(now time.Time) {
	for _, p := range s.peers {
		if p.silent || now.Sub(p.heardAt) <= silentAfter {
			continue
		}
		heard, _ := s.sharing()
		p.silent = true
		for name, b := range s.accounts {
			if part := b.level * (p.daemons - p.hidden) / heard; part > 0 {
				b.level -= part
				p.assumed[name] += part
			}
		}
	}
}

// Silent returns the number of peers that have fallen silent.
func (s *State) Silent(now time.Time) int {
	s.settle(now)
	count := 0
	for _, p := range s.peers {
		if p.silent {
			count++
		}
	}
	return count
}

// sharing returns the number of daemons that are heard and of all, this one included.
func (s *State) sharing() (heard, daemons float64) {
	heard, daemons = 1, 1
	for _, p := range s.peers {
		daemons += p.daemons
		if !p.silent {
			heard += p.daemons - p.hidden
		}
	}
	return heard, daemons
}

// Take asks for an allowance. An account that is unknown or has no limit is always admitted.
func (s *State) Take(account string, cost float64, now time.Time) Verdict {
	b, ok := s.accounts[account]
	if !ok {
		return Verdict{Admitted: true}
	}
	if b.account.Rate <= 0 {
		return Verdict{Admitted: true}
	}
	s.settle(now)
	defer b.offer(cost, now)
	// A request larger than the burst needs a full bucket and leaves a debt.
	need := min(cost, b.account.Burst)
	if s.blind() {
		need += b.account.Burst * s.startPart * (1 - blindPart)
	}
	if b.level < need {
		return refuse(b, need, now)
	}
	if shared := min(need+s.margin(b, now), max(need, b.account.Burst)); b.level < shared {
		return refuse(b, shared, now)
	}
	level := b.level
	b.level -= cost
	s.used[account] += cost
	return Verdict{Admitted: true, Level: level}
}

// refuse returns the refusal of a request that needs a level.
func refuse(b *bucket, need float64, now time.Time) Verdict {
	wait := time.Duration((need - b.level) / b.account.Rate * float64(time.Second))
	return Verdict{RetryAt: now.Add(wait), Level: b.level}
}

// Return gives back the allowance of a request that no endpoint has run.
func (s *State) Return(account string, cost float64) {
	b, ok := s.accounts[account]
	if !ok || b.account.Rate <= 0 {
		return
	}
	b.level = min(b.level+cost, b.account.Burst)
	s.used[account] = max(0, s.used[account]-cost)
}

// Used returns a copy of what this daemon has used since its start, for its digest.
func (s *State) Used() map[string]float64 {
	return maps.Clone(s.used)
}

func (Configured) message() {}
func (Heard) message()      {}
func (Listed) message()     {}
func (Reset) message()      {}
func (Forgotten) message()  {}
