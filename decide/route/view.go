package route

import (
	"slices"
	"time"

	"lentilstage.dev/wire/wire"
)

type (
	// View holds a daemon's state of one endpoint. It is immutable: the With methods return a
	// changed copy, so that a decision reads one consistent state while workers prepare the next.
	//
	// A placement counts until a load report of a later time covers it. For endpoints without load
	// reports, such as plain services, the daemon passes its own count of requests in flight to WithLoad.
	View struct {
		Instance   string
		DataCentre string
		Versions   []string
		Load       wire.EngineLoad
		// Leaving is final for an instance.
		Leaving bool
		// Avoided is set while the health aggregate avoids the endpoint.
		Avoided bool
		// Penalty is added to the predicted time of an unhealthy endpoint that package health can't
		// avoid, because too many endpoints of the route are avoided already.
		Penalty time.Duration
		// Suspects is the number of requests in flight at the endpoint that are suspected of a crash.
		Suspects int

		index       *PrefixIndex
		own         []placements
		peers       []peerPlacement
		peerDigests *PeerDigests

		// queuedTokens is the number of prompt tokens expected in the queue at queuedTokensAt, and
		// placedRequests the number of requests placed since the load report.
		queuedTokens   float64
		queuedTokensAt time.Time
		placedRequests int
	}

	// placements counts requests that were sent to the endpoint at the same time, and their uncached
	// prompt tokens.
	placements struct {
		at       time.Time
		requests int
		tokens   int
	}

	// peerPlacement holds the placements from the last digest of one peer.
	peerPlacement struct {
		placements
		process string
	}
)

// maxOwnPlacements bounds the entries of a view's own placements. The two oldest are merged beyond it.
const maxOwnPlacements = 128

// NewView returns the view of an endpoint that has not reported yet.
func NewView(instance, dataCentre string, versions ...string) *View {
	return &View{Instance: instance, DataCentre: dataCentre, Versions: versions, index: NewIndex()}
}

// PrefixIndex returns the index of the endpoint's prefix cache.
func (v *View) PrefixIndex() *PrefixIndex { return v.index }

// WithLoad returns the view with a load report and without the placements up to its time. A report
// older than the last one is ignored.
func (v *View) WithLoad(load wire.EngineLoad) *View {
	if load.Time.Before(v.Load.Time) {
		return v
	}
	next := *v
	next.Load = load
	if len(load.Versions) > 0 {
		next.Versions = load.Versions
	}
	next.own = slices.DeleteFunc(slices.Clone(v.own), func(p placements) bool { return !p.at.After(load.Time) })
	next.peers = slices.DeleteFunc(slices.Clone(v.peers), func(p peerPlacement) bool { return !p.at.After(load.Time) })
	next.replayPlacements()
	return &next
}

// WithPlacement returns the view after this daemon sent a request with the given number of
// uncached prompt tokens and the given blocks.
func (v *View) WithPlacement(at time.Time, tokens int, blocks []Block) *View {
	next := *v
	next.index = v.index.WithBlocks(blocks)
	next.own = append(slices.Clip(v.own), placements{at: at, requests: 1, tokens: tokens})
	if len(next.own) > maxOwnPlacements {
		merged := slices.Clone(next.own[1:])
		merged[0].requests += next.own[0].requests
		merged[0].tokens += next.own[0].tokens
		next.own = merged
	}
	next.addPlacements(placements{at: at, requests: 1, tokens: tokens}.scaled(1 + v.peerDigests.countBehind(at)))
	return &next
}

// WithDigest returns the view with the placements of a peer's last digest, which replace the peer's
// earlier ones. They are dropped if the load report is as recent. Call it for each endpoint in the
// digest and for each one with placements of this daemon.
func (v *View) WithDigest(peers *PeerDigests, process string, placement wire.Placement) *View {
	next := *v
	next.peerDigests = peers
	at := peers.lastDigest[process]
	next.peers = slices.DeleteFunc(slices.Clone(v.peers), func(p peerPlacement) bool { return p.process == process })
	if at.After(v.Load.Time) && placement.Requests > 0 {
		next.peers = append(next.peers, peerPlacement{
			placements: placements{at: at, requests: placement.Requests, tokens: placement.Tokens},
			process:    process,
		})
	}
	next.replayPlacements()
	return &next
}

// WithEvents returns the view after a batch of cache events.
func (v *View) WithEvents(batch wire.CacheEvents) *View {
	next := *v
	next.index = v.index.WithEvents(batch)
	return &next
}

// WithLeaving returns the view of an endpoint that is leaving. An instance never returns from this state.
func (v *View) WithLeaving() *View {
	next := *v
	next.Leaving = true
	return &next
}

// WithHealth returns the view with the status from package health.
func (v *View) WithHealth(avoided bool, penalty time.Duration) *View {
	next := *v
	next.Avoided = avoided
	next.Penalty = penalty
	return &next
}

// WithSuspects returns the view with the number of suspected requests in flight at the endpoint.
func (v *View) WithSuspects(count int) *View {
	next := *v
	next.Suspects = count
	return &next
}

// Placement returns the sum of this daemon's placements since the load report, for its digest.
func (v *View) Placement() wire.Placement {
	sum := wire.Placement{Instance: v.Instance}
	for _, p := range v.own {
		sum.Requests += p.requests
		sum.Tokens += p.tokens
	}
	return sum
}

// PredictedQueue returns the number of prompt tokens expected in the endpoint's queue at the given time.
func (v *View) PredictedQueue(now time.Time) float64 {
	elapsed := max(0, now.Sub(v.queuedTokensAt).Seconds())
	return max(0, v.queuedTokens-elapsed*v.Load.PrefillPerSecond)
}

// replayPlacements applies the placements to the load report in the order of their times. A peer is
// assumed to have placed the same requests as this daemon until its digest arrives: daemons receive
// the same load reports, so they choose the same endpoints at the same time.
func (v *View) replayPlacements() {
	v.queuedTokens = float64(v.Load.QueuedTokens)
	v.queuedTokensAt = v.Load.Time
	v.placedRequests = 0
	all := make([]placements, 0, len(v.own)+len(v.peers))
	for _, p := range v.own {
		all = append(all, p.scaled(1+v.peerDigests.countBehind(p.at)))
	}
	for _, p := range v.peers {
		all = append(all, p.placements)
	}
	slices.SortStableFunc(all, func(a, b placements) int { return a.at.Compare(b.at) })
	for _, p := range all {
		v.addPlacements(p)
	}
}

// addPlacements adds placements to the predicted queue. They must be added in the order of their times.
func (v *View) addPlacements(p placements) {
	v.queuedTokens = v.PredictedQueue(p.at) + float64(p.tokens)
	if p.at.After(v.queuedTokensAt) {
		v.queuedTokensAt = p.at
	}
	v.placedRequests += p.requests
}

func (p placements) scaled(factor int) placements {
	return placements{at: p.at, requests: p.requests * factor, tokens: p.tokens * factor}
}
