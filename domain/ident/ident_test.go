package ident

import (
	"testing"
	"time"
)

// TestIncarnationsSortByStart guards against a restarted daemon whose digest entries are
// discarded in favour of those of its earlier run, so that its peers consider it dead.
func TestIncarnationsSortByStart(t *testing.T) {
	earlier := Incarnation(NewKeyAt(time.Now().Add(-time.Second)))
	previous := NewIncarnation()
	if earlier >= previous {
		t.Fatalf("incarnation %s of an earlier start sorts after %s", earlier, previous)
	}
	for range 1000 {
		next := NewIncarnation()
		if previous >= next {
			t.Fatalf("incarnation %s sorts after the later %s", previous, next)
		}
		previous = next
	}
}
