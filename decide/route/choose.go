// Package route chooses the endpoint of a request by the predicted time to its first token.
//
// A daemon keeps one immutable View per endpoint and replaces it on each load report, batch of cache
// events, peer digest and placement of its own. Choose compares the views.
//
// # Usage
//
//	chooser := route.NewChooser(route.WithDelays(map[string]time.Duration{"a": 0, "b": time.Millisecond}))
//	choice, reason, ok := chooser.Choose(request, views, now, rand.Float64)
//	if ok {
//		views[choice.Instance] = choice.WithPlacement(now, reason.Uncached, request.Blocks)
//	}
//
// The package has no clock and no state besides the views.
package route

import (
	"math"
	"slices"
	"time"

	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

type (
	// Request describes a request to be routed.
	Request struct {
		ID    string
		Route string
		Split []table.WeightedVersion
		// PromptTokens counts the tokens of the prompt and of the answer so far.
		PromptTokens int
		Blocks       []Block
		// FirstTokenDeadline is the latest time for the first token; zero means no deadline.
		FirstTokenDeadline time.Time
		// Tried lists the instances of earlier attempts.
		Tried []string
		// Suspect marks a request that was in flight when an endpoint crashed.
		Suspect bool
	}

	// Result is the outcome of a choice.
	Result string

	// Reason explains why an endpoint was chosen, or why none was.
	Reason struct {
		Result  Result
		Version string
		// Predicted is the predicted time to the first token at the chosen endpoint. If no candidate
		// meets the deadline, it is the lowest prediction of all candidates.
		Predicted time.Duration
		// Uncached is the expected number of prompt tokens that the endpoint must compute.
		Uncached int
		// Numbers are the values for the event. Times are in milliseconds.
		Numbers []event.Number
	}

	// Chooser holds the parameters of the prediction.
	Chooser struct {
		delays           map[string]time.Duration
		defaultDelay     time.Duration
		prefillRate      float64
		delayPerRunning  time.Duration
		decodeTime       time.Duration
		nearBestFraction float64
	}

	// Option changes a parameter of a chooser.
	Option func(*Chooser)

	// prediction is the predicted time to the first token at an endpoint, and the expected number of
	// prompt tokens that are not cached there.
	prediction struct {
		view     *View
		seconds  float64
		uncached float64
	}

	// candidateCounts counts the endpoints that were excluded, by reason, and the near-best ones.
	candidateCounts struct {
		leaving, avoided, tried, suspects, infeasible, near int
	}
)

const (
	// Chosen means that an endpoint of the drawn version was chosen.
	Chosen Result = "Chosen"
	// ChosenOtherVersion means that no endpoint of the drawn version could serve, and one of another
	// version was chosen.
	ChosenOtherVersion Result = "ChosenOtherVersion"
	// NoCandidate means that no endpoint may serve the request.
	NoCandidate Result = "NoCandidate"
	// NoneFeasible means that no endpoint meets the deadline.
	NoneFeasible Result = "NoneFeasible"
	// NoVersion means that no version in the split has a positive weight.
	NoVersion Result = "NoVersion"
)

// WithDelays sets the one-way network delay to each data centre.
func WithDelays(delays map[string]time.Duration) Option {
	return func(c *Chooser) { c.delays = delays }
}

// WithPrefillRate sets the assumed prompt tokens per second of an endpoint that has not reported.
func WithPrefillRate(rate float64) Option { return func(c *Chooser) { c.prefillRate = rate } }

// WithDelayPerRunning sets the time that each running request adds to one step of the batch.
func WithDelayPerRunning(delayPerRunning time.Duration) Option {
	return func(c *Chooser) { c.delayPerRunning = delayPerRunning }
}

// WithDecodeTime sets the mean time from a request's first token to its end.
func WithDecodeTime(mean time.Duration) Option { return func(c *Chooser) { c.decodeTime = mean } }

// WithNearBest sets the fraction by which a prediction may exceed the best one and still take part in
// the random choice.
func WithNearBest(fraction float64) Option { return func(c *Chooser) { c.nearBestFraction = fraction } }

// NewChooser returns a chooser with the given options.
func NewChooser(options ...Option) *Chooser {
	c := &Chooser{
		defaultDelay:     40 * time.Millisecond,
		prefillRate:      8000,
		delayPerRunning:  200 * time.Microsecond,
		decodeTime:       4 * time.Second,
		nearBestFraction: 0.05,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Choose returns an endpoint at random among those that meet the deadline and whose predicted time to
// the first token exceeds the lowest one by at most the near-best fraction (5% by default). random
// returns a number in [0, 1). Choose returns false and a reason if no endpoint qualifies.
func (c *Chooser) Choose(request Request, views []*View, now time.Time, random func() float64) (*View, Reason, bool) {
	drawn := DrawVersion(request.ID, request.Route, request.Split)
	if drawn == "" {
		return nil, Reason{Result: NoVersion}, false
	}
	view, reason, ok := c.chooseAmongVersion(request, drawn, views, now, random)
	if reason.Result != NoCandidate {
		return view, reason, ok
	}
	for _, other := range fallbacks(drawn, request.Split) {
		otherView, otherReason, ok := c.chooseAmongVersion(request, other, views, now, random)
		if ok {
			otherReason.Result = ChosenOtherVersion
			return otherView, otherReason, true
		}
		if otherReason.Result == NoneFeasible {
			reason = otherReason
		}
	}
	return nil, reason, false
}

// chooseAmongVersion chooses among the endpoints of one version.
func (c *Chooser) chooseAmongVersion(
	request Request, version string, views []*View, now time.Time, random func() float64,
) (*View, Reason, bool) {
	var count candidateCounts
	candidates := c.predictAll(request, version, views, now, false, &count)
	if len(candidates) == 0 && !request.Suspect {
		// Only endpoints with a suspect in flight remain, which is better than refusing the request.
		count = candidateCounts{}
		candidates = c.predictAll(request, version, views, now, true, &count)
	}
	if len(candidates) == 0 {
		return nil, Reason{Result: NoCandidate, Version: version, Numbers: count.numbers(nil)}, false
	}
	best := candidates[0]
	for _, p := range candidates {
		if p.seconds < best.seconds {
			best = p
		}
	}
	picked := best
	result := Chosen
	remaining := time.Duration(1<<63 - 1)
	if !request.FirstTokenDeadline.IsZero() {
		remaining = request.FirstTokenDeadline.Sub(now)
	}
	if best.seconds > remaining.Seconds() {
		result = NoneFeasible
		count.infeasible = len(candidates)
	} else {
		limit := min(best.seconds*(1+c.nearBestFraction), remaining.Seconds())
		near := candidates[:0]
		for _, p := range candidates {
			if p.seconds > remaining.Seconds() {
				count.infeasible++
			}
			if p.seconds <= limit {
				near = append(near, p)
			}
		}
		count.near = len(near)
		picked = near[min(int(random()*float64(len(near))), len(near)-1)]
	}
	reason := Reason{
		Result:    result,
		Version:   version,
		Predicted: time.Duration(picked.seconds * float64(time.Second)),
		Uncached:  int(picked.uncached + 0.5),
	}
	reason.Numbers = count.numbers([]event.Number{
		{Name: "PredictedMs", Value: picked.seconds * 1000},
		{Name: "BestMs", Value: best.seconds * 1000},
		{Name: "QueueTokens", Value: picked.view.PredictedQueue(now)},
		{Name: "UncachedTokens", Value: picked.uncached},
		{Name: "CacheTrust", Value: picked.view.index.Trust()},
	})
	if result == NoneFeasible {
		return nil, reason, false
	}
	return picked.view, reason, true
}

// predictAll predicts the time for each endpoint that may serve the request, and counts the others.
func (c *Chooser) predictAll(
	request Request, version string, views []*View, now time.Time, includeSuspects bool, count *candidateCounts,
) []prediction {
	candidates := make([]prediction, 0, len(views))
	limit := math.Inf(1)
	for _, v := range views {
		switch {
		case !slices.Contains(v.Versions, version):
		case v.Leaving:
			count.leaving++
		case v.Avoided:
			count.avoided++
		case slices.Contains(request.Tried, v.Instance):
			count.tried++
		case v.Suspects > 0 && !includeSuspects:
			count.suspects++
		default:
			p := c.predict(request, v, now, limit)
			limit = min(limit, p.seconds*(1+c.nearBestFraction))
			candidates = append(candidates, p)
		}
	}
	return candidates
}

// predict returns the predicted time to the first token: the network round trip, the wait for a slot
// in the batch, the prompt tokens queued before it, its own uncached prompt tokens, one step of the
// batch, and the penalty. If the time exceeds the limit (in seconds) even with every block cached, it
// returns that lower bound and skips the block lookup, which takes most of a decision's time.
func (c *Chooser) predict(request Request, v *View, now time.Time, limit float64) prediction {
	rate := v.Load.PrefillPerSecond
	if rate <= 0 {
		rate = c.prefillRate
	}
	delay, ok := c.delays[v.DataCentre]
	if !ok {
		delay = c.defaultDelay
	}
	// Some requests that ran at the time of the report have ended since.
	age := max(0, now.Sub(v.Load.Time).Seconds())
	ended := float64(v.Load.Running) * min(1, age/c.decodeTime.Seconds())
	running := float64(v.Load.Running+v.Load.Queued+v.placedRequests) - ended
	seconds := 2*delay.Seconds() + v.PredictedQueue(now)/rate + running*c.delayPerRunning.Seconds() + v.Penalty.Seconds()
	if slots := float64(v.Load.MaxRunning); slots > 0 && running >= slots {
		seconds += (running - slots + 1) * c.decodeTime.Seconds() / slots
	}
	trust := v.index.Trust()
	uncached := max(0, float64(request.PromptTokens)-float64(len(request.Blocks)*wire.BlockTokens)*trust)
	if seconds+uncached/rate <= limit {
		cached := float64(v.index.Cached(request.Blocks) * wire.BlockTokens)
		uncached = max(0, float64(request.PromptTokens)-cached*trust)
	}
	return prediction{view: v, seconds: seconds + uncached/rate, uncached: uncached}
}

func (k candidateCounts) numbers(numbers []event.Number) []event.Number {
	for _, n := range []struct {
		name  string
		value int
	}{
		{"Near", k.near},
		{"Infeasible", k.infeasible},
		{"Leaving", k.leaving},
		{"Avoided", k.avoided},
		{"Tried", k.tried},
		{"Suspects", k.suspects},
	} {
		if n.value > 0 {
			numbers = append(numbers, event.Number{Name: n.name, Value: float64(n.value)})
		}
	}
	return numbers
}
