// Package usage counts the requests of each account over all daemons, in windows of the wall
// clock.
//
// Each daemon counts its own requests and sends the counts of the last windows to the hub of its
// group. The hub adds up the latest counts of all processes of the group, including those that have
// ended since, and sends the sums to the other hubs. The daemon that reports the usage adds up the
// groups.
//
// # Usage
//
//	state := usage.New("entry-1", incarnation, 5*time.Second)
//	state.Count("counter", trueTime)
//	state.Merge(peer, incarnation, counts)
//	state.MergeGroup("group-2", sums)
//	totals := state.Totals(window)
//
// The methods change the state in place and are not safe for concurrent use.
package usage

import (
	"maps"
	"time"
)

type (
	// Counts are the requests of each account in one window.
	Counts map[string]int64

	// State holds the counts of the last windows of the processes of the own group, and the sums of
	// the other groups.
	State struct {
		self      process
		length    time.Duration
		processes map[process]map[int64]Counts
		// groups holds the sums that hubs have reported. The empty name stands for the own group.
		groups map[string]map[int64]Counts
	}

	process struct {
		daemon      string
		incarnation string
	}
)

// retainedWindows is the number of windows that are kept: the current one, those to be reported,
// and as many again in case another daemon takes over the reporting late.
const retainedWindows = 6

// New returns a state without counts for windows of the given length.
func New(daemon, incarnation string, length time.Duration) *State {
	self := process{daemon: daemon, incarnation: incarnation}
	return &State{
		self: self, length: length, processes: map[process]map[int64]Counts{self: {}},
		groups: map[string]map[int64]Counts{},
	}
}

// Window returns the number of the window that contains the time. Window 0 begins at the Unix
// epoch.
func (s *State) Window(at time.Time) int64 { return at.UnixMilli() / s.length.Milliseconds() }

// End returns the end of a window.
func (s *State) End(window int64) time.Time {
	return time.UnixMilli((window + 1) * s.length.Milliseconds())
}

// Count adds a request that began to run at this daemon.
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

// Own returns a copy of this daemon's counts of the last windows, by window number.
func (s *State) Own() map[int64]Counts {
	own := make(map[int64]Counts, len(s.processes[s.self]))
	for window, counts := range s.processes[s.self] {
		own[window] = maps.Clone(counts)
	}
	return own
}

// Merge merges a peer's counts. It keeps the higher of two counts, since counts only grow, so that
// a late digest changes nothing.
func (s *State) Merge(daemon, incarnation string, reported map[int64]Counts) {
	p := process{daemon: daemon, incarnation: incarnation}
	if p == s.self {
		return
	}
	windows := s.processes[p]
	if windows == nil {
		windows = map[int64]Counts{}
		s.processes[p] = windows
	}
	mergeWindows(windows, reported)
}

// MergeGroup merges the sums that a hub reports for its group. The empty name stands for the own
// group: its former hub may have counted processes that have ended since. The higher of two sums is
// kept, so that the report of a new hub that lacks such a process changes nothing.
func (s *State) MergeGroup(group string, reported map[int64]Counts) {
	windows := s.groups[group]
	if windows == nil {
		windows = map[int64]Counts{}
		s.groups[group] = windows
	}
	mergeWindows(windows, reported)
}

func mergeWindows(windows, reported map[int64]Counts) {
	for window, counts := range reported {
		merged := windows[window]
		if merged == nil {
			merged = Counts{}
			windows[window] = merged
		}
		for account, count := range counts {
			merged[account] = max(merged[account], count)
		}
	}
}

// OwnGroups returns the counts of the last windows, added up over the processes of the own group, by
// window number.
func (s *State) OwnGroups() map[int64]Counts {
	sums := map[int64]Counts{}
	for _, windows := range s.processes {
		for window := range windows {
			sums[window] = nil
		}
	}
	for window := range sums {
		sums[window] = s.ownGroup(window)
	}
	return sums
}

// ownGroup returns the counts of a window, added up over the processes of the own group.
func (s *State) ownGroup(window int64) Counts {
	totals := Counts{}
	for _, windows := range s.processes {
		for account, count := range windows[window] {
			totals[account] += count
		}
	}
	for account, count := range s.groups[""][window] {
		totals[account] = max(totals[account], count)
	}
	return totals
}

// Totals returns the counts of a window, added up over all groups.
func (s *State) Totals(window int64) Counts {
	totals := s.ownGroup(window)
	for group, windows := range s.groups {
		if group == "" {
			continue
		}
		for account, count := range windows[window] {
			totals[account] += count
		}
	}
	return totals
}

// trim removes the windows that are too old to be reported.
func (s *State) trim(newest int64) {
	for p, windows := range s.processes {
		maps.DeleteFunc(windows, func(window int64, _ Counts) bool { return window <= newest-retainedWindows })
		if len(windows) == 0 && p != s.self {
			delete(s.processes, p)
		}
	}
	for _, windows := range s.groups {
		maps.DeleteFunc(windows, func(window int64, _ Counts) bool { return window <= newest-retainedWindows })
	}
}
