package hold

import (
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"lentilstage.dev/wire/wire"
)

// Position is the end of a caller's copy of an answer: the number of tokens, and the branch
// that the last one belongs to. The zero value is an empty copy.
type Position struct {
	Tokens int
	Branch string
}

// ErrPosition reports a Last-Event-ID that can't be parsed.
var ErrPosition = eris.New("invalid Last-Event-ID")

// EventID returns the identifier of the event that carries the token before the position: the
// token's offset, a dot and the branch.
func (p Position) EventID() string {
	return strconv.Itoa(p.Tokens-1) + "." + p.Branch
}

// ParseEventID returns the position after an event. An empty identifier is the start of
// the answer. It returns ErrPosition if the identifier has no offset.
func ParseEventID(id string) (Position, error) {
	if id == "" {
		return Position{}, nil
	}
	offset, branch, _ := strings.Cut(id, ".")
	number, err := strconv.Atoi(offset)
	if err != nil || number < 0 {
		return Position{}, ErrPosition
	}
	return Position{Tokens: number + 1, Branch: branch}, nil
}

// Covers reports whether the record's answer starts with the caller's copy. The offset alone is
// not enough: two owners that continue the same request sample different tokens from the point
// at which their branches start.
func Covers(record wire.HeldRequest, p Position) bool {
	if p.Tokens == 0 {
		return true
	}
	if p.Tokens > len(record.Tokens) {
		return false
	}
	i := slices.IndexFunc(record.Branches, func(b wire.Branch) bool { return b.ID == p.Branch })
	if i < 0 || p.Tokens <= record.Branches[i].From {
		return false
	}
	return i == len(record.Branches)-1 || p.Tokens <= record.Branches[i+1].From
}

// endPosition returns the position after the record's last token.
func endPosition(record wire.HeldRequest) Position {
	return Position{Tokens: len(record.Tokens), Branch: branchAt(record, len(record.Tokens))}
}

// ChooseCopy returns the index of the record from which a caller at the position continues, or -1 if
// no record covers the position. It prefers the highest epoch, then the most tokens.
func ChooseCopy(records []wire.HeldRequest, p Position) int {
	best := -1
	for i, r := range records {
		if !Covers(r, p) {
			continue
		}
		if best < 0 || r.Epoch > records[best].Epoch ||
			r.Epoch == records[best].Epoch && len(r.Tokens) > len(records[best].Tokens) {
			best = i
		}
	}
	return best
}

// branchAt returns the branch that the last of the record's first n tokens belongs to.
func branchAt(record wire.HeldRequest, n int) string {
	branch := ""
	for _, b := range record.Branches {
		if b.From < n || branch == "" {
			branch = b.ID
		}
	}
	return branch
}
