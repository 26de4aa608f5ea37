package route

import (
	"maps"
	"slices"
	"time"
)

// PeerDigests holds the time of each peer's last digest. It is immutable.
type PeerDigests struct {
	lastDigest  map[string]time.Time
	sortedTimes []time.Time
}

// maxAssumedPeers bounds the number of peers that are assumed to have made the same placement as this
// daemon. With many daemons it is unlikely that all of them have made it.
const maxAssumedPeers = 8

// NewPeerDigests returns a value without peers.
func NewPeerDigests() *PeerDigests { return &PeerDigests{} }

// WithTime returns the digest times after a digest that covers the placements up to the given time. A
// digest older than the last one is ignored.
func (p *PeerDigests) WithTime(process string, at time.Time) *PeerDigests {
	if at.Before(p.lastDigest[process]) {
		return p
	}
	lastDigest := make(map[string]time.Time, len(p.lastDigest)+1)
	maps.Copy(lastDigest, p.lastDigest)
	lastDigest[process] = at
	return peersFromDigestTimes(lastDigest)
}

// WithoutPeer returns the digest times without a peer that has died.
func (p *PeerDigests) WithoutPeer(process string) *PeerDigests {
	lastDigest := maps.Clone(p.lastDigest)
	delete(lastDigest, process)
	return peersFromDigestTimes(lastDigest)
}

func peersFromDigestTimes(lastDigest map[string]time.Time) *PeerDigests {
	sortedTimes := slices.SortedFunc(maps.Values(lastDigest), time.Time.Compare)
	return &PeerDigests{lastDigest: lastDigest, sortedTimes: sortedTimes}
}

// countBehind returns the number of peers, at most maxAssumedPeers, whose last digest is older than
// the given time.
func (p *PeerDigests) countBehind(at time.Time) int {
	if p == nil {
		return 0
	}
	earlier, _ := slices.BinarySearchFunc(p.sortedTimes, at, time.Time.Compare)
	return min(earlier, maxAssumedPeers)
}
