package member

import (
	"math"
	"math/bits"

	"lentilstage.dev/wire/wire"
)

// Sizes in bytes of the gob encoding on a connection on which the type definitions have already been
// sent. A struct field takes one byte for its number; zero fields are omitted.
const (
	timeSize = 17
	// headerSize covers the length and type of the message, the time of the digest and the lengths of
	// its lists.
	headerSize = 32
)

// EntrySize returns an upper bound of the encoded size of an entry in bytes.
func EntrySize(e wire.DigestEntry) int {
	size := 2 + stringSize(e.Process) + stringSize(e.Incarnation) + intSize(e.Sequence) + intSize(e.Next) + timeSize + 2
	for _, u := range e.Uses {
		size += useSize(u)
	}
	for _, p := range e.Placements {
		size += placementSize(p)
	}
	for _, v := range e.Evidence {
		size += evidenceSize(v)
	}
	return size + 3*listSize
}

func useSize(u wire.AccountUsage) int {
	return 1 + stringSize(u.Account) + intSize(int64(u.InFlight)) + floatSize(u.TokensPerSecond) + intSize(int64(u.Waiting))
}

func placementSize(p wire.Placement) int {
	return 1 + stringSize(p.Instance) + intSize(int64(p.Requests)) + intSize(int64(p.Tokens))
}

func evidenceSize(v wire.Evidence) int {
	return 1 + stringSize(v.Move) + stringSize(v.Route) + stringSize(v.Version) +
		intSize(v.Requests) + intSize(v.Failures) + intSize(v.Slow) + intSize(v.Excluded)
}

// listSize is the field number and length of a list.
const listSize = 4

// alarmSize returns an upper bound of the encoded size of an alarm.
func alarmSize(a wire.Alarm) int {
	return 1 + stringSize(a.Kind) + stringSize(a.Subject) + stringSize(a.Account) + stringSize(a.Reason) + timeSize
}

func stringSize(s string) int { return 1 + unsignedSize(uint64(len(s))) + len(s) }

// intSize returns the size of a signed field, which gob shifts left by one bit.
func intSize(i int64) int {
	u := uint64(i) << 1
	if i < 0 {
		u = ^u
	}
	return 1 + unsignedSize(u)
}

// floatSize returns the size of a float field, which gob writes with its bytes reversed.
func floatSize(f float64) int { return 1 + unsignedSize(bits.ReverseBytes64(math.Float64bits(f))) }

// unsignedSize returns the size of an unsigned number: one byte below 128, otherwise a length byte
// and the bytes of the number.
func unsignedSize(u uint64) int {
	if u < 128 {
		return 1
	}
	return 1 + (bits.Len64(u)+7)/8
}
