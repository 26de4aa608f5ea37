package main

import (
	"sync"
	"time"

	"lentilstage.dev/wire/wire"
)

type (
	// store holds the streams. One lock covers all of them and the append rate.
	store struct {
		mutex     sync.Mutex
		retention time.Duration
		streams   map[string]*stream
		// rate, tokens and refilled form a token bucket of append calls. The rate is in calls a second;
		// 0 means no limit.
		rate     float64
		tokens   float64
		refilled time.Time
	}

	// stream holds the retained records of one stream; records[0] has the offset oldest.
	stream struct {
		records []wire.LogRecord
		oldest  int64
		// appended is closed and replaced with each append, which wakes waiting reads.
		appended chan struct{}
	}
)

func newStore(retention time.Duration, rate float64) *store {
	return &store{retention: retention, streams: map[string]*stream{}, rate: rate, tokens: max(rate, 1), refilled: time.Now()}
}

// append stores the records and returns the first one's offset, or false over the rate limit.
func (s *store) append(name string, payloads []wire.LogPayload, now time.Time) (int64, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.allowAppend(now) {
		return 0, false
	}
	t := s.stream(name, now)
	first := t.next()
	for i, p := range payloads {
		t.records = append(t.records, wire.LogRecord{Offset: first + int64(i), Time: now.UTC(), ID: p.ID, Data: p.Data})
	}
	close(t.appended)
	t.appended = make(chan struct{})
	return first, true
}

func (s *store) allowAppend(now time.Time) bool {
	if s.rate == 0 {
		return true
	}
	s.tokens = min(s.tokens+now.Sub(s.refilled).Seconds()*s.rate, max(s.rate, 1))
	s.refilled = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// read returns the records from an offset on. If there is none, it waits for one until the deadline.
func (s *store) read(name string, from int64, limit int, deadline time.Time) wire.LogPage {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		page, appended := s.page(name, from, limit)
		if len(page.Records) > 0 || from < page.Oldest {
			return page
		}
		select {
		case <-appended:
		case <-timer.C:
			return page
		}
	}
}

func (s *store) page(name string, from int64, limit int) (wire.LogPage, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.stream(name, time.Now())
	page := wire.LogPage{Records: []wire.LogRecord{}, Oldest: t.oldest, Next: t.next()}
	start := max(from, t.oldest) - t.oldest
	if start < int64(len(t.records)) {
		kept := t.records[start:]
		page.Records = append(page.Records, kept[:min(limit, len(kept))]...)
	}
	return page, t.appended
}

// stream returns the named stream without the records past retention, and creates it if needed. The
// caller holds the lock.
func (s *store) stream(name string, now time.Time) *stream {
	t, found := s.streams[name]
	if !found {
		t = &stream{appended: make(chan struct{})}
		s.streams[name] = t
	}
	expired := 0
	for expired < len(t.records) && now.Sub(t.records[expired].Time) > s.retention {
		expired++
	}
	if expired > 0 {
		t.records = append([]wire.LogRecord(nil), t.records[expired:]...)
		t.oldest += int64(expired)
	}
	return t
}

func (t *stream) next() int64 { return t.oldest + int64(len(t.records)) }
