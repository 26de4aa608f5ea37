package main

import (
	"container/list"
	"slices"
	"time"
)

type (
	// engine models an endpoint that generates answers with continuous batching and chunked
	// reading of prompts. Its memory holds the tokens of running requests; the rest of it caches
	// the shared prefixes of sessions, which are evicted in LRU order.
	engine struct {
		*timeline
		spec       engineSpec
		id         string
		dataCentre string
		removed    bool
		stepping   bool
		running    []*job
		queue      []*job
		// preparing holds the requests that are not queued yet, in the order of their arrival.
		preparing []*job
		// usedTokens is the memory reserved by running requests, cachedTokens that of cached
		// prefixes. recent lists the cached sessions, the most recently used first.
		usedTokens, cachedTokens int
		recent                   *list.List
		cached                   map[string]*list.Element
		// slowness is by how much a step that begins now takes longer; nil if no step does.
		slowness func() float64
	}

	// job is one request at an engine.
	job struct {
		session        string
		prompt, shared int
		answer, rank   int
		unreadTokens   int
		generated      int
		// source is an engine from which the shared prefix may be fetched, nil for none.
		source          *engine
		onFirst, onDone func()
		// onRead, if set, is called with the number of prompt tokens that the engine has to read.
		onRead func(tokens int)
	}

	cachedSession struct {
		name   string
		tokens int
	}
)

const (
	// maxChunkTokens is the maximum number of prompt tokens that one step reads.
	maxChunkTokens = 2048
	// stepMSPerRequest is the time in milliseconds that each request of the batch adds to a step.
	stepMSPerRequest = 0.02
)

func newEngine(t *timeline, spec engineSpec, id, dataCentre string) *engine {
	return &engine{
		timeline: t, spec: spec, id: id, dataCentre: dataCentre, recent: list.New(), cached: map[string]*list.Element{},
	}
}

// enqueue queues a request when the fixed part of the time to its first token has passed. onFirst runs
// at the first event and onDone at the end.
func (e *engine) enqueue(j *job) {
	if e.spec.FirstMS == 0 {
		e.insert(j)
		return
	}
	e.preparing = append(e.preparing, j)
	e.after(fromMilliseconds(e.spec.FirstMS), func() {
		if e.removed {
			return
		}
		// All requests are prepared for the same time, so the first one is j.
		e.preparing = e.preparing[1:]
		e.insert(j)
	})
}

// insert inserts a request into the queue by rank, lowest first, and starts a step if the engine is idle.
func (e *engine) insert(j *job) {
	at := len(e.queue)
	for at > 0 && e.queue[at-1].rank > j.rank {
		at--
	}
	e.queue = slices.Insert(e.queue, at, j)
	e.startStep()
}

// remove removes the engine and returns its unfinished requests.
func (e *engine) remove() []*job {
	e.removed = true
	lost := slices.Concat(e.running, e.queue, e.preparing)
	e.running, e.queue, e.preparing = nil, nil, nil
	return lost
}

// startStep starts a step unless one is running.
func (e *engine) startStep() {
	if e.stepping || e.removed {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	budget := maxChunkTokens
	for _, j := range e.running {
		read := min(j.unreadTokens, budget)
		j.unreadTokens -= read
		budget -= read
	}
	ms := e.spec.StepMS + stepMSPerRequest*float64(len(e.running)) + float64(maxChunkTokens-budget)/e.spec.ReadPerMS
	if e.slowness != nil {
		ms *= e.slowness()
	}
	e.after(time.Duration(ms*float64(time.Millisecond)), e.finishStep)
}

// admit starts queued requests while slots and memory are free. It evicts cached prefixes to free memory.
func (e *engine) admit() {
	for len(e.queue) > 0 && len(e.running) < e.spec.Slots {
		j := e.queue[0]
		need := j.prompt + j.answer
		for e.usedTokens+e.cachedTokens+need > e.spec.Memory && e.recent.Len() > 0 {
			e.evict(e.recent.Back())
		}
		if e.usedTokens+need > e.spec.Memory && len(e.running) > 0 {
			return
		}
		e.queue = e.queue[1:]
		j.unreadTokens = max(j.prompt-e.cacheHit(j), 1)
		if j.onRead != nil {
			j.onRead(j.unreadTokens)
		}
		e.usedTokens += need
		e.running = append(e.running, j)
	}
}

// cacheHit returns the number of prompt tokens of a request that are cached here or at its source,
// and caches its shared prefix. The model omits the time of a fetch, which is a tenth of the time
// of reading the tokens.
func (e *engine) cacheHit(j *job) int {
	if j.session == "" {
		return 0
	}
	if element, ok := e.cached[j.session]; ok {
		e.recent.MoveToFront(element)
		return min(element.Value.(cachedSession).tokens, j.shared)
	}
	e.cached[j.session] = e.recent.PushFront(cachedSession{name: j.session, tokens: j.shared})
	e.cachedTokens += j.shared
	if j.source != nil {
		if element, ok := j.source.cached[j.session]; ok {
			return min(element.Value.(cachedSession).tokens, j.shared)
		}
	}
	return 0
}

func (e *engine) evict(element *list.Element) {
	s := e.recent.Remove(element).(cachedSession)
	delete(e.cached, s.name)
	e.cachedTokens -= s.tokens
}

// finishStep ends a step, which generates one token for each request whose prompt is read.
func (e *engine) finishStep() {
	e.stepping = false
	if e.removed {
		return
	}
	e.running = slices.DeleteFunc(e.running, func(j *job) bool {
		if j.unreadTokens > 0 {
			return false
		}
		j.generated++
		if j.generated == 1 {
			j.onFirst()
		}
		if j.generated < j.answer {
			return false
		}
		e.usedTokens -= j.prompt + j.answer
		j.onDone()
		return true
	})
	e.startStep()
}
