package hubs

import (
	"fmt"
	"testing"
	"time"
)

// TestUnknownSendersAreBounded guards against messages and referrals that name any number of daemons, each of which takes
// memory and a part of the allowances, and against records that are ignored because of them.
func TestUnknownSendersAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Member{Name: "entry-0", DataCentre: "centre-0", Speed: 1, Incarnation: "1"})
	for i := range 3 * maxUnlisted {
		m := Member{Name: fmt.Sprint("stranger-", i), DataCentre: "centre-0", Speed: 0.1, Incarnation: "x"}
		if i%2 == 0 {
			s.Observe(Report{Member: m}, now)
		} else {
			s.Refer(Report{Member: m, SeenAt: now}, now)
		}
	}
	if got := s.Count(); got != maxUnlisted+1 {
		t.Errorf("%d daemons after messages of strangers, want %d", got, maxUnlisted+1)
	}
	for i := range 400 {
		s.List(Member{Name: fmt.Sprint("entry-", i+1), DataCentre: "centre-0", Speed: 1, Incarnation: "x"}, now)
	}
	if got := s.Count(); got != maxUnlisted+401 {
		t.Errorf("%d daemons with 400 records, want %d", got, maxUnlisted+401)
	}
	if moved := (Member{Name: "entry-1", DataCentre: "centre-1", Incarnation: "x"}); s.Admits(moved) {
		t.Error("a process may change its data centre")
	}
	now = now.Add(memberTTL + time.Second)
	for i := range 400 {
		s.List(Member{Name: fmt.Sprint("entry-", i+1), DataCentre: "centre-0", Speed: 1, Incarnation: "x"}, now)
	}
	s.Expire(now)
	if got := s.Count(); got != 401 || s.unlisted != 0 {
		t.Errorf("%d daemons, %d unlisted after the strangers have expired, want 401 and 0", got, s.unlisted)
	}
}
