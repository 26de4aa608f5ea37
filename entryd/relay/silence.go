package relay

import (
	"sync"
	"time"
)

// silence ends an attempt whose endpoint sends nothing for too long, so that another endpoint serves the
// request. The zero value never ends it.
type silence struct {
	mutex sync.Mutex
	timer *time.Timer
	// until is when the attempt ends unless the endpoint sends something before.
	until time.Time
	// extended is set once the endpoint has sent something, failedOver once another attempt follows, ended
	// once the attempt is over.
	extended, failedOver, ended bool
}

// failOverInterval is the pause between two tries to fail over: another endpoint may get room.
const failOverInterval = 500 * time.Millisecond

// start calls failOver, with the mutex locked, after a time of silence. If that reports false, the attempt goes
// on, and failOver is called again later.
func (s *silence) start(now func() time.Time, limit time.Duration, failOver func(extended bool) bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.until = now().Add(limit)
	s.timer = time.AfterFunc(limit, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.ended {
			return
		}
		if left := s.until.Sub(now()); left > 0 {
			s.timer.Reset(left)
			return
		}
		s.failedOver = failOver(s.extended)
		s.ended = s.failedOver
		if !s.ended {
			s.until = now().Add(failOverInterval)
			s.timer.Reset(failOverInterval)
		}
	})
}

// extend moves the end of the attempt, since the endpoint has sent something.
func (s *silence) extend(until time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.timer == nil || s.ended {
		return
	}
	s.until, s.extended = until, true
	s.timer.Reset(time.Until(until))
}

// end prevents a later fail-over and reports whether one has ended the attempt.
func (s *silence) end() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = true
	if s.timer != nil {
		s.timer.Stop()
	}
	return s.failedOver
}

// hasFailedOver reports whether a fail-over has ended the attempt.
func (s *silence) hasFailedOver() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.failedOver
}
