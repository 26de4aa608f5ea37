package main

import (
	"container/list"
	"slices"
	"time"
)

type (
	// engine models an endpoint that generates answers: a batch with continuous joining, prompts
	// read in chunks beside it, memory for the tokens of running requests, and shared prompt
	// parts that stay until their room is needed.
	engine struct {
		*timeline
		shape      engineShape
		id         string
		dataCentre string
		gone       bool
		stepping   bool
		running    []*job
		queue      []*job
		// used is the tokens of running requests, kept the sessions whose parts stay, the latest
		// used first.
		used, keptTokens int
		kept             *list.List
		sessions         map[string]*list.Element
	}

	// job is one request at an engine.
	job struct {
		session        string
		prompt, shared int
		answer, rank   int
		unread         int
		generated      int
		// source is an engine that may keep the shared parts, nil for none.
		source          *engine
		onFirst, onDone func()
		// onRead, if set, gets the prompt tokens that the engine will read.
		onRead func(tokens int)
	}

	keptSession struct {
		name   string
		tokens int
	}
)

const (
	// chunkTokens bounds the prompt tokens that one step reads.
	chunkTokens = 2048
	// slotMS is added to a step for each request of the batch.
	slotMS = 0.02
)

func newEngine(t *timeline, shape engineShape, id, dataCentre string) *engine {
	return &engine{
		timeline: t, shape: shape, id: id, dataCentre: dataCentre, kept: list.New(), sessions: map[string]*list.Element{},
	}
}

// send gives the engine a request. Its functions run at the first event and at the end.
func (e *engine) send(j *job) {
	at := len(e.queue)
	for at > 0 && e.queue[at-1].rank > j.rank {
		at--
	}
	e.queue = slices.Insert(e.queue, at, j)
	e.start()
}

// end takes the engine away and returns the requests that it has not answered.
func (e *engine) end() []*job {
	e.gone = true
	lost := slices.Concat(e.running, e.queue)
	e.running, e.queue = nil, nil
	return lost
}

// start begins a step unless one is on.
func (e *engine) start() {
	if e.stepping || e.gone {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	budget := chunkTokens
	for _, j := range e.running {
		read := min(j.unread, budget)
		j.unread -= read
		budget -= read
	}
	ms := e.shape.StepMS + slotMS*float64(len(e.running)) + float64(chunkTokens-budget)/e.shape.ReadPerMS
	e.after(time.Duration(ms*float64(time.Millisecond)), e.step)
}

// admit starts queued requests while slots and memory are free.
func (e *engine) admit() {
	for len(e.queue) > 0 && len(e.running) < e.shape.Slots {
		j := e.queue[0]
		need := j.prompt + j.answer
		for e.used+e.keptTokens+need > e.shape.Memory && e.kept.Len() > 0 {
			e.drop(e.kept.Back())
		}
		if e.used+need > e.shape.Memory && len(e.running) > 0 {
			return
		}
		e.queue = e.queue[1:]
		j.unread = max(j.prompt-e.found(j), 1)
		if j.onRead != nil {
			j.onRead(j.unread)
		}
		e.used += need
		e.running = append(e.running, j)
	}
}

// found returns the prompt tokens of a request that are kept here or at its source, and keeps its shared
// parts. The time of a fetch is left out: it is a tenth of that of reading.
func (e *engine) found(j *job) int {
	if j.session == "" {
		return 0
	}
	if element, ok := e.sessions[j.session]; ok {
		e.kept.MoveToFront(element)
		return min(element.Value.(keptSession).tokens, j.shared)
	}
	e.sessions[j.session] = e.kept.PushFront(keptSession{name: j.session, tokens: j.shared})
	e.keptTokens += j.shared
	if j.source != nil {
		if element, ok := j.source.sessions[j.session]; ok {
			return min(element.Value.(keptSession).tokens, j.shared)
		}
	}
	return 0
}

func (e *engine) drop(element *list.Element) {
	s := e.kept.Remove(element).(keptSession)
	delete(e.sessions, s.name)
	e.keptTokens -= s.tokens
}

// step ends a step: each request whose prompt is read has one token more.
func (e *engine) step() {
	e.stepping = false
	if e.gone {
		return
	}
	e.running = slices.DeleteFunc(e.running, func(j *job) bool {
		if j.unread > 0 {
			return false
		}
		j.generated++
		if j.generated == 1 {
			j.onFirst()
		}
		if j.generated < j.answer {
			return false
		}
		e.used -= j.prompt + j.answer
		j.onDone()
		return true
	})
	e.start()
}
