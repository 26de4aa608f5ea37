// Package value holds small generic value types, sets and optional values, and functions on times.
//
// # Usage
//
//	seen := value.NewSet("a", "b")
//	seen = seen.With("c")
//	first := value.Some(3)
//	if number, ok := first.Get(); ok { ... }
//
// All types are immutable: the With methods return a changed copy.
package value

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"
)

type (
	// Set is an immutable set of ordered values. The zero value is empty.
	Set[T cmp.Ordered] struct {
		members map[T]struct{}
	}

	// Option is a value that may be absent. The zero value is absent.
	Option[T any] struct {
		value   T
		present bool
	}
)

// NewSet returns a set of the given members.
func NewSet[T cmp.Ordered](members ...T) Set[T] {
	set := Set[T]{members: make(map[T]struct{}, len(members))}
	for _, m := range members {
		set.members[m] = struct{}{}
	}
	return set
}

// Has reports whether the member is in the set.
func (s Set[T]) Has(member T) bool {
	_, ok := s.members[member]
	return ok
}

// Len returns the number of members.
func (s Set[T]) Len() int { return len(s.members) }

// With returns a copy of the set with the members added.
func (s Set[T]) With(members ...T) Set[T] {
	next := make(map[T]struct{}, len(s.members)+len(members))
	maps.Copy(next, s.members)
	for _, m := range members {
		next[m] = struct{}{}
	}
	return Set[T]{members: next}
}

// Without returns a copy of the set with the members removed.
func (s Set[T]) Without(members ...T) Set[T] {
	next := maps.Clone(s.members)
	for _, m := range members {
		delete(next, m)
	}
	return Set[T]{members: next}
}

// Sorted returns the members in ascending order.
func (s Set[T]) Sorted() []T {
	return slices.Sorted(maps.Keys(s.members))
}

// MarshalJSON encodes the set as a sorted list.
func (s Set[T]) MarshalJSON() ([]byte, error) {
	return json.Marshal(s.Sorted())
}

// UnmarshalJSON decodes the set from a list.
func (s *Set[T]) UnmarshalJSON(data []byte) error {
	var members []T
	if err := json.Unmarshal(data, &members); err != nil {
		return err
	}
	*s = NewSet(members...)
	return nil
}

// Some returns an option with the value present.
func Some[T any](v T) Option[T] { return Option[T]{value: v, present: true} }

// None returns an absent option.
func None[T any]() Option[T] { return Option[T]{} }

// Get returns the value and whether it is present.
func (o Option[T]) Get() (T, bool) { return o.value, o.present }

// Or returns the value, or the fallback if the value is absent.
func (o Option[T]) Or(fallback T) T {
	if o.present {
		return o.value
	}
	return fallback
}

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// Earlier returns the earlier of two times.
func Earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
