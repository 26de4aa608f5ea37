package limit

import (
	"cmp"
	"slices"
	"time"
)

type (
	// Request describes a request to be admitted.
	Request struct {
		ID      string
		Account string
		// Priority ranges from 0, the most urgent, to 9.
		Priority int
		// Deadline is the caller's deadline.
		Deadline time.Time
		// StartBy is the latest time at which the request can start and still meet its
		// deadline; zero means no limit.
		StartBy time.Time
	}

	queuedRequest struct {
		Request
		queuedAt time.Time
		sequence int64
	}

	// queue holds the waiting requests, sorted by priority, deadline and arrival.
	queue struct {
		entries      []queuedRequest
		lastSequence int64
		// skippedStarts counts, for each account with an aged request, the starts of its other
		// requests since the last start of an aged one.
		skippedStarts map[string]int
	}
)

const (
	// agingThreshold is the wait after which a request counts as aged and may start before
	// requests of a better priority.
	agingThreshold = 10 * time.Second
	// agedStartInterval reserves one of this number of an account's starts for its longest-waiting
	// aged request, so that background requests finish and interactive ones lose little. The
	// grants prevent starvation between accounts.
	agedStartInterval = 8
)

func compareRequests(a, b queuedRequest) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		compareDeadlines(a.Deadline, b.Deadline),
		cmp.Compare(a.sequence, b.sequence),
	)
}

// compareDeadlines orders a missing deadline last.
func compareDeadlines(a, b time.Time) int {
	if a.IsZero() || b.IsZero() {
		return cmp.Compare(boolRank(a.IsZero()), boolRank(b.IsZero()))
	}
	return a.Compare(b)
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (q *queue) add(r Request, now time.Time) {
	q.lastSequence++
	w := queuedRequest{Request: r, queuedAt: now, sequence: q.lastSequence}
	at, _ := slices.BinarySearchFunc(q.entries, w, compareRequests)
	q.entries = slices.Insert(q.entries, at, w)
}

// ahead returns the number of queued requests of the same account that sort before a new one.
func (q *queue) ahead(r Request) int {
	count := 0
	candidate := queuedRequest{Request: r, sequence: q.lastSequence + 1}
	for _, w := range q.entries {
		if w.Account == r.Account && compareRequests(w, candidate) < 0 {
			count++
		}
	}
	return count
}

// dequeue removes and returns the next request among the accounts with free capacity.
func (q *queue) dequeue(now time.Time, hasCapacity func(account string) bool) (Request, bool) {
	firstIndex, agedIndex := -1, -1
	aged := map[string]bool{}
	for i, w := range q.entries {
		if !hasCapacity(w.Account) {
			continue
		}
		if firstIndex < 0 {
			firstIndex = i
		}
		if now.Sub(w.queuedAt) < agingThreshold {
			continue
		}
		aged[w.Account] = true
		waitedLonger := agedIndex < 0 || w.queuedAt.Before(q.entries[agedIndex].queuedAt)
		if q.skippedStarts[w.Account] >= agedStartInterval-1 && waitedLonger {
			agedIndex = i
		}
	}
	if firstIndex < 0 {
		return Request{}, false
	}
	pickedIndex := firstIndex
	if agedIndex >= 0 {
		pickedIndex = agedIndex
	}
	request := q.entries[pickedIndex].Request
	switch {
	case now.Sub(q.entries[pickedIndex].queuedAt) >= agingThreshold:
		delete(q.skippedStarts, request.Account)
	case aged[request.Account]:
		q.skippedStarts[request.Account]++
	}
	q.entries = slices.Delete(q.entries, pickedIndex, pickedIndex+1)
	return request, true
}

// remove removes and returns the queued request with the given ID.
func (q *queue) remove(id string) (Request, bool) {
	at := slices.IndexFunc(q.entries, func(w queuedRequest) bool { return w.ID == id })
	if at < 0 {
		return Request{}, false
	}
	request := q.entries[at].Request
	q.entries = slices.Delete(q.entries, at, at+1)
	return request, true
}

// expire removes and returns the requests that can no longer meet their deadline.
func (q *queue) expire(now time.Time) []Request {
	var expired []Request
	q.entries = slices.DeleteFunc(q.entries, func(w queuedRequest) bool {
		tooLate := !w.StartBy.IsZero() && now.After(w.StartBy)
		if tooLate {
			expired = append(expired, w.Request)
		}
		return tooLate
	})
	return expired
}

// displace removes and returns the last request of the account that has the most queued
// requests relative to its share.
func (q *queue) displace(share func(account string) float64) Request {
	counts := map[string]int{}
	for _, w := range q.entries {
		counts[w.Account]++
	}
	account, most := "", -1.0
	for _, w := range q.entries {
		if use := float64(counts[w.Account]) / max(share(w.Account), minWeight); use > most {
			account, most = w.Account, use
		}
	}
	for i := len(q.entries) - 1; ; i-- {
		if q.entries[i].Account == account {
			request := q.entries[i].Request
			q.entries = slices.Delete(q.entries, i, i+1)
			return request
		}
	}
}
