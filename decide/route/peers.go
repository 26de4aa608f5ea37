package route

import (
	"maps"
	"slices"
	"time"
)

// Peers holds the time of each peer's last digest. It is immutable.
type Peers struct {
	lastDigest  map[string]time.Time
	sortedTimes []time.Time
}

// maxAssumedPeers bounds the number of peers that are assumed to have made the same placement as this
// daemon. With many daemons it is unlikely that all of them have made it.
const maxAssumedPeers = 8

// NewPeers returns a value without peers.
func NewPeers() *Peers { return &Peers{} }

// With returns the digest times after a digest that covers the placements up to the given time. A
// digest older than the last one is ignored.
func (p *Peers) With(process string, at time.Time) *Peers {
	if at.Before(p.lastDigest[process]) {
		return p
	}
	lastDigest := make(map[string]time.Time, len(p.lastDigest)+1)
	maps.Copy(lastDigest, p.lastDigest)
	lastDigest[process] = at
	return peersFromDigestTimes(lastDigest)
}

// Without returns the digest times without a peer that has died.
func (p *Peers) Without(process string) *Peers {
	lastDigest := maps.Clone(p.lastDigest)
	delete(lastDigest, process)
	return peersFromDigestTimes(lastDigest)
}

func peersFromDigestTimes(lastDigest map[string]time.Time) *Peers {
	sortedTimes := slices.SortedFunc(maps.Values(lastDigest), time.Time.Compare)
	return &Peers{lastDigest: lastDigest, sortedTimes: sortedTimes}
}

// countBehind returns the number of peers, at most maxAssumedPeers, whose last digest is older than
// the given time.
func (p *Peers) countBehind(at time.Time) int {
	if p == nil {
		return 0
	}
	earlier, _ := slices.BinarySearchFunc(p.sortedTimes, at, time.Time.Compare)
	return min(earlier, maxAssumedPeers)
}
