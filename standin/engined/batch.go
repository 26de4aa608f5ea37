package main

import (
	"cmp"
	"context"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"lentilstage.dev/standin/stand"
	"lentilstage.dev/wire/wire"
)

type (
	// endReason is the reason why an attempt ended, or empty while it runs or waits.
	endReason string

	// attempt is one request in the batch or its queue. The batch's mutex guards the fields
	// below wake.
	attempt struct {
		id       string
		version  string
		prompt   string
		prefix   string
		priority int
		sequence int64
		limit    int
		resumed  []string
		// contextTokens is the number of prompt and resumed tokens, which must be computed or
		// cached before the first token.
		contextTokens int
		blocks        []string
		importedKV    *importedKV
		// wake is signalled when the progress has changed. Its capacity is 1.
		wake chan struct{}

		// cached and computed count the context tokens that came from a cache and those that
		// were computed.
		cached        int
		computed      int
		contextStored bool
		// stepCredit is the fraction of a step that the attempt of a slow version has accumulated.
		stepCredit float64
		// failAt is the answer length in tokens at which the attempt fails, or -1.
		failAt int
		// produced is the answer's length in tokens, including resumed ones.
		produced int
		silent   bool
		ended    endReason
	}

	// progress is a snapshot of an attempt for its stream.
	progress struct {
		produced int
		usage    wire.ChatUsage
		silent   bool
		ended    endReason
	}

	// workCounts counts the requests and the tokens of one version.
	workCounts struct {
		Requests             int64 `json:"Requests"`
		PromptTokensComputed int64 `json:"PromptTokensComputed"`
		TokensGenerated      int64 `json:"TokensGenerated"`
		// Whole, Failed and Cancelled count the ended requests.
		Whole     int64 `json:"Whole"`
		Failed    int64 `json:"Failed"`
		Cancelled int64 `json:"Cancelled"`
		// Resumed counts the requests that resumed an answer, and ResumedTokensComputed the
		// prompt and answer tokens that were computed again for them.
		Resumed               int64 `json:"Resumed"`
		ResumedTokensComputed int64 `json:"ResumedTokensComputed"`
	}

	// batch models continuous batching. In each step it computes a chunk of prompt
	// tokens and generates a token for each running attempt whose context is computed.
	batch struct {
		settings   settings
		cache      *cache
		faults     *stand.Faults[faults]
		behaviours *stand.Faults[behaviours]

		mutex    sync.Mutex
		arrived  chan struct{}
		sequence int64
		attempts map[string]*attempt
		queue    []*attempt
		running  []*attempt
		// ready holds the running attempts that take part in the current step.
		ready  []*attempt
		counts map[string]*workCounts
	}
)

const (
	endWhole     endReason = "whole"
	endFailed    endReason = "failed"
	endCancelled endReason = "cancelled"

	// prefillChunk is the largest number of prompt tokens in a step. It limits the
	// time for which a long prompt delays the tokens of running requests.
	prefillChunk = 512
	// crashCode is the exit code of an injected crash.
	crashCode = 3
)

func newBatch(o settings, cache *cache, f *stand.Faults[faults], b *stand.Faults[behaviours]) *batch {
	return &batch{
		settings:   o,
		cache:      cache,
		faults:     f,
		behaviours: b,
		arrived:    make(chan struct{}, 1),
		attempts:   map[string]*attempt{},
		counts:     map[string]*workCounts{},
	}
}

func newAttempt(id string, priority int, request wire.ChatRequest, importedKV *importedKV) *attempt {
	prompt := request.Prompt()
	text := prompt + strings.Join(request.Resume, "")
	return &attempt{
		id:            id,
		version:       request.Model,
		prompt:        prompt,
		prefix:        wire.AnswerPrefix(prompt),
		priority:      priority,
		limit:         request.TokenLimit(),
		resumed:       request.Resume,
		contextTokens: wire.CountTokens(text),
		blocks:        wire.PrefixBlocks(text),
		importedKV:    importedKV,
		wake:          make(chan struct{}, 1),
		failAt:        -1,
		produced:      len(request.Resume),
	}
}

// allBlocks returns the cache blocks of the prompt and of the first produced answer tokens.
func (a *attempt) allBlocks(produced int) []string {
	text := strings.Builder{}
	text.WriteString(a.prompt)
	for i := range produced {
		if i < len(a.resumed) {
			text.WriteString(a.resumed[i])
		} else {
			text.WriteString(wire.TokenTextForPrefix(a.prefix, i))
		}
	}
	return wire.PrefixBlocks(text.String())
}

// enqueue queues the attempt by priority. It returns false if the queue is full or the identifier is
// in use.
func (b *batch) enqueue(a *attempt) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if _, used := b.attempts[a.id]; used || len(b.queue) >= b.settings.maxQueued {
		return false
	}
	b.sequence++
	a.sequence = b.sequence
	b.attempts[a.id] = a
	b.queue = append(b.queue, a)
	slices.SortFunc(b.queue, func(x, y *attempt) int {
		return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(x.sequence, y.sequence))
	})
	b.workCounts(a).Requests++
	if len(a.resumed) > 0 {
		b.workCounts(a).Resumed++
	}
	notify(b.arrived)
	return true
}

// run executes batch steps until the context ends.
func (b *batch) run(ctx context.Context, waitWhileFrozen func()) {
	next := time.Now()
	for {
		waitWhileFrozen()
		duration := b.beginStep()
		if duration == 0 {
			select {
			case <-b.arrived:
				next = time.Now()
				continue
			case <-ctx.Done():
				return
			}
		}
		// After a freeze the steps continue from now instead of catching up.
		if now := time.Now(); now.Sub(next) > duration {
			next = now
		}
		next = next.Add(duration)
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
		waitWhileFrozen()
		b.finishStep()
	}
}

// beginStep moves queued attempts into the batch and computes prompt tokens. It returns the duration
// of the step, or 0 if the batch is empty.
func (b *batch) beginStep() time.Duration {
	crash, currentBehaviours, now := b.faults.Get().Crash, b.behaviours.Get(), time.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for len(b.queue) > 0 && len(b.running) < b.settings.maxRunning {
		a := b.queue[0]
		b.queue = b.queue[1:]
		if crash != "" && strings.Contains(a.prompt, crash) {
			os.Exit(crashCode)
		}
		b.running = append(b.running, a)
		a.cached = b.cache.lookup(a.version, a.blocks) * wire.BlockTokens
		if a.importedKV != nil {
			a.cached = max(a.cached, a.importedKV.cachedTokens(a))
		}
		if after, fails := currentBehaviours.fails(a, len(b.running), now); fails {
			a.failAt = a.produced + after
		}
	}
	if len(b.running) == 0 {
		return 0
	}
	b.ready = b.ready[:0]
	budget := prefillChunk
	for _, a := range b.running {
		a.stepCredit += 1 / currentBehaviours.slowFactor(a, len(b.running), now)
		if a.stepCredit < 1 {
			continue
		}
		a.stepCredit--
		b.ready = append(b.ready, a)
		part := min(budget, a.contextTokens-a.cached-a.computed)
		a.computed += part
		budget -= part
		b.workCounts(a).PromptTokensComputed += int64(part)
		if len(a.resumed) > 0 {
			b.workCounts(a).ResumedTokensComputed += int64(part)
		}
	}
	prefill := float64(prefillChunk-budget) / b.settings.prefill * float64(time.Second)
	return b.settings.step + time.Duration(len(b.running))*b.settings.stepPerRunning + time.Duration(prefill)
}

// finishStep generates a token for each ready attempt whose context is computed.
func (b *batch) finishStep() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, a := range b.ready {
		switch {
		case a.ended != "" || a.cached+a.computed < a.contextTokens:
			continue
		case a.produced == a.failAt:
			b.endLocked(a, endFailed)
			continue
		case !a.contextStored:
			a.contextStored = true
			b.cache.store(a.version, a.blocks, time.Now())
		}
		if a.produced < a.limit {
			a.produced++
			b.workCounts(a).TokensGenerated++
		}
		if a.produced >= a.limit {
			b.endLocked(a, endWhole)
		}
		notify(a.wake)
	}
}

// end ends the attempt with the identifier. It returns false if there is no such attempt.
func (b *batch) end(id string, reason endReason) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	a, found := b.attempts[id]
	if found {
		b.endLocked(a, reason)
	}
	return found
}

func (b *batch) endLocked(a *attempt, reason endReason) {
	same := func(other *attempt) bool { return other == a }
	b.queue = slices.DeleteFunc(b.queue, same)
	b.running = slices.DeleteFunc(b.running, same)
	delete(b.attempts, a.id)
	a.ended = reason
	switch reason {
	case endWhole:
		b.workCounts(a).Whole++
	case endFailed:
		b.workCounts(a).Failed++
	case endCancelled:
		b.workCounts(a).Cancelled++
	}
	if a.contextStored {
		b.cache.store(a.version, a.allBlocks(a.produced), time.Now())
	}
	notify(a.wake)
}

// silenceAll makes all open streams stop sending without a close.
func (b *batch) silenceAll() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, a := range b.attempts {
		a.silent = true
	}
}

func (b *batch) progress(a *attempt) progress {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return progress{
		produced: a.produced,
		usage: wire.ChatUsage{
			PromptTokens:     a.contextTokens - len(a.resumed),
			CompletionTokens: a.produced,
			CachedTokens:     a.cached,
			ComputedTokens:   a.computed,
		},
		silent: a.silent,
		ended:  a.ended,
	}
}

// find returns an attempt and its answer length in tokens. It returns false if there is none or its
// context is not computed yet.
func (b *batch) find(id string) (*attempt, int, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	a, found := b.attempts[id]
	if !found || !a.contextStored {
		return nil, 0, false
	}
	return a, a.produced, true
}

// otherRunning returns a running attempt other than the excluded one, or nil.
func (b *batch) otherRunning(excluded *attempt) *attempt {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, a := range b.running {
		if a != excluded {
			return a
		}
	}
	return nil
}

func (b *batch) load() wire.EngineLoad {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	waiting := 0
	for _, a := range slices.Concat(b.queue, b.running) {
		waiting += a.contextTokens - a.cached - a.computed
	}
	return wire.EngineLoad{
		Running:          len(b.running),
		Queued:           len(b.queue),
		QueuedTokens:     waiting,
		MaxRunning:       b.settings.maxRunning,
		PrefillPerSecond: b.settings.prefill,
	}
}

// workCounts returns the counts of the attempt's version. The caller holds the lock.
func (b *batch) workCounts(a *attempt) *workCounts {
	c, found := b.counts[a.version]
	if !found {
		c = &workCounts{}
		b.counts[a.version] = c
	}
	return c
}

// countsByVersion returns a copy of the counts of all versions.
func (b *batch) countsByVersion() map[string]workCounts {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	counts := map[string]workCounts{}
	for version, c := range b.counts {
		counts[version] = *c
	}
	return counts
}

// notify signals a channel of capacity 1 without blocking.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
