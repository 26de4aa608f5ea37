// Package event defines timeline events and a bounded buffer for them.
//
// # Usage
//
//	buffer := event.NewBuffer(8192)
//	buffer.Add(event.Event{Time: now, Process: "entry-1", Kind: "RouteChosen", ...})
//	recent := buffer.Since(0)
//
// Each process has its own buffer. The operators' command-line tool reads the buffers of
// all processes and merges them by time.
package event

import (
	"sync"
	"time"
)

type (
	// Number is a named numeric value of an event.
	Number struct {
		Name  string  `json:"Name"`
		Value float64 `json:"Value"`
	}

	// Event is an entry of the timeline.
	Event struct {
		// Sequence numbers the events of one process from 1.
		Sequence uint64    `json:"Sequence"`
		Time     time.Time `json:"Time"`
		Process  string    `json:"Process"`
		// Kind is the type of the event, for example "RouteChosen".
		Kind     string   `json:"Kind"`
		Account  string   `json:"Account,omitempty"`
		Request  string   `json:"Request,omitempty"`
		Route    string   `json:"Route,omitempty"`
		Version  string   `json:"Version,omitempty"`
		Endpoint string   `json:"Endpoint,omitempty"`
		Reason   string   `json:"Reason,omitempty"`
		Numbers  []Number `json:"Numbers,omitempty"`
	}

	// Buffer is a ring buffer of a process's most recent events. It is safe for concurrent use.
	Buffer struct {
		mu       sync.Mutex
		events   []Event
		capacity int
		next     uint64
	}
)

// NewBuffer returns a buffer that keeps the newest events up to the capacity, which is at least 1.
func NewBuffer(capacity int) *Buffer {
	return &Buffer{capacity: max(capacity, 1), next: 1}
}

// Add stores an event under the next sequence number and drops the oldest one when full.
func (b *Buffer) Add(e Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.Sequence = b.next
	b.next++
	if len(b.events) < b.capacity {
		b.events = append(b.events, e)
		return
	}
	b.events[(e.Sequence-1)%uint64(b.capacity)] = e
}

// Since returns the buffered events with a sequence number above after, oldest first.
func (b *Buffer) Since(after uint64) []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := b.next - uint64(len(b.events))
	start := max(after+1, oldest)
	if start >= b.next {
		return nil
	}
	result := make([]Event, 0, b.next-start)
	for s := start; s < b.next; s++ {
		result = append(result, b.events[(s-1)%uint64(b.capacity)])
	}
	return result
}
