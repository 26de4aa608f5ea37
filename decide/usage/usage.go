// Package usage counts the requests of each account by windows of the wall clock, over all
// daemons.
//
// Each daemon counts its own requests and tells its counts of the last windows in its
// digests. The daemon that reports sums the newest counts of all processes; those of a
// process that has ended since still count.
//
// # Usage
//
//	state := usage.New("entry-1", incarnation, 5*time.Second)
//	state.Count("counter", trueTime)
//	state.Heard(peer, incarnation, counts)
//	totals := state.Totals(window)
//
// One owner calls the methods.
package usage

import (
	"maps"
	"time"
)

type (
	// Counts are the requests of each account in one window.
	Counts map[string]int64

	// State keeps the counts of the last windows of all processes.
	State struct {
		self      process
		length    time.Duration
		processes map[process]map[int64]Counts
	}

	process struct {
		daemon      string
		incarnation string
	}
)

// keepWindows is the number of windows kept: the open one, those due, and as many again for
// a reporter that takes over late.
const keepWindows = 6

// New returns a state without counts.
func New(daemon, incarnation string, length time.Duration) *State {
	self := process{daemon: daemon, incarnation: incarnation}
	return &State{self: self, length: length, processes: map[process]map[int64]Counts{self: {}}}
}

// Window returns the number of the window that holds the time; window 0 begins in 1970.
func (s *State) Window(at time.Time) int64 { return at.UnixMilli() / s.length.Milliseconds() }

// End returns the end of a window.
func (s *State) End(window int64) time.Time {
	return time.UnixMilli((window + 1) * s.length.Milliseconds())
}

// Count adds a request of this daemon that began to run.
func (s *State) Count(account string, at time.Time) {
	window := s.Window(at)
	counts := s.processes[s.self][window]
	if counts == nil {
		counts = Counts{}
		s.processes[s.self][window] = counts
		s.trim(window)
	}
	counts[account]++
}

// Own returns a copy of this daemon's counts of the last windows.
func (s *State) Own() map[int64]Counts {
	own := make(map[int64]Counts, len(s.processes[s.self]))
	for window, counts := range s.processes[s.self] {
		own[window] = maps.Clone(counts)
	}
	return own
}

// Heard takes in a peer's counts. Counts only rise, so that a late digest changes nothing.
func (s *State) Heard(daemon, incarnation string, heard map[int64]Counts) {
	p := process{daemon: daemon, incarnation: incarnation}
	if p == s.self {
		return
	}
	windows := s.processes[p]
	if windows == nil {
		windows = map[int64]Counts{}
		s.processes[p] = windows
	}
	for window, counts := range heard {
		known := windows[window]
		if known == nil {
			known = Counts{}
			windows[window] = known
		}
		for account, count := range counts {
			known[account] = max(known[account], count)
		}
	}
}

// Totals returns the counts of a window over all processes.
func (s *State) Totals(window int64) Counts {
	totals := Counts{}
	for _, windows := range s.processes {
		for account, count := range windows[window] {
			totals[account] += count
		}
	}
	return totals
}

// trim drops the windows that are too old to be reported.
func (s *State) trim(newest int64) {
	for p, windows := range s.processes {
		maps.DeleteFunc(windows, func(window int64, _ Counts) bool { return window <= newest-keepWindows })
		if len(windows) == 0 && p != s.self {
			delete(s.processes, p)
		}
	}
}
