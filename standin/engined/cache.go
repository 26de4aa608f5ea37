package main

import (
	"container/list"
	"sync"
	"time"

	"lentilstage.dev/standin/stand"
	"lentilstage.dev/wire/wire"
)

type (
	// blockKey identifies a cached block. Versions don't share blocks.
	blockKey struct {
		version string
		block   string
	}

	// timedEvent is a cache event and the time from which readers see it.
	timedEvent struct {
		event   wire.CacheEvent
		visible time.Time
	}

	// cache is a prefix cache of limited size with LRU eviction, and its event log.
	cache struct {
		mutex           sync.Mutex
		maxBlocks       int
		lag             time.Duration
		lossProbability float64
		// order has the least recently used key at its front.
		order    *list.List
		elements map[blockKey]*list.Element
		sequence int64
		eventLog []timedEvent
	}
)

// maxLoggedEvents limits the events that are kept for readers, and maxEventsPerRead those in one
// answer.
const (
	maxLoggedEvents  = 65536
	maxEventsPerRead = 4096
)

func newCache(maxBlocks int, lag time.Duration, lossProbability float64) *cache {
	return &cache{maxBlocks: maxBlocks, lag: lag, lossProbability: lossProbability, order: list.New(), elements: map[blockKey]*list.Element{}}
}

// lookup returns the number of leading blocks that are cached, and marks them as recently used.
func (c *cache) lookup(version string, blocks []string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for i, block := range blocks {
		element, found := c.elements[blockKey{version, block}]
		if !found {
			return i
		}
		c.order.MoveToBack(element)
	}
	return len(blocks)
}

// store adds the blocks and evicts the least recently used ones beyond the capacity.
func (c *cache) store(version string, blocks []string, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, block := range blocks {
		key := blockKey{version, block}
		if element, found := c.elements[key]; found {
			c.order.MoveToBack(element)
			continue
		}
		c.elements[key] = c.order.PushBack(key)
		c.logEvent(wire.CacheStored, key, now)
	}
	for c.order.Len() > c.maxBlocks {
		key := c.order.Remove(c.order.Front()).(blockKey)
		delete(c.elements, key)
		c.logEvent(wire.CacheEvicted, key, now)
	}
}

func (c *cache) logEvent(kind wire.CacheEventKind, key blockKey, now time.Time) {
	sequence := c.sequence
	c.sequence++
	if stand.DrawHit(c.lossProbability) {
		return
	}
	c.eventLog = append(c.eventLog, timedEvent{
		event:   wire.CacheEvent{Sequence: sequence, Kind: kind, Block: key.block, Version: key.version},
		visible: now.Add(c.lag),
	})
	if len(c.eventLog) > maxLoggedEvents {
		c.eventLog = append([]timedEvent(nil), c.eventLog[len(c.eventLog)-maxLoggedEvents/2:]...)
	}
}

// events returns the visible events from a sequence number on.
func (c *cache) events(from int64, now time.Time) wire.CacheEvents {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	answer := wire.CacheEvents{Events: []wire.CacheEvent{}, Next: from}
	for _, t := range c.eventLog {
		if t.event.Sequence < from {
			continue
		}
		if t.visible.After(now) || len(answer.Events) == maxEventsPerRead {
			break
		}
		answer.Events = append(answer.Events, t.event)
		answer.Next = t.event.Sequence + 1
	}
	return answer
}

// size returns the used size and the capacity in tokens.
func (c *cache) size() (int, int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.order.Len() * wire.BlockTokens, c.maxBlocks * wire.BlockTokens
}
