package value

import "cmp"

// Position is the place of a record in a stream, or the end of one. A log that is restored from a copy
// loses its newest records, gives out their offsets again and begins a new era; an offset alone therefore
// identifies a record only within an era.
type Position struct {
	Era    int64
	Offset int64
}

// Compare returns -1, 0 or +1 if p is before, equal to or after o, by era and then by offset.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Offset, o.Offset))
}

// Before reports whether p is before o.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// Furthest returns the later of two positions.
func Furthest(a, b Position) Position {
	if a.Before(b) {
		return b
	}
	return a
}
