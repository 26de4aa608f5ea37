package admit

import (
	"maps"
	"math"
	"slices"
	"time"
)

type (
	// Schedule decides when refused callers of one service should retry. It holds the work that this daemon and
	// the others have promised room for, by time slot, so that together they don't promise the same capacity
	// twice. Work is in seconds of endpoint time.
	Schedule struct {
		// own and others hold the promised work by slot number: the start of the slot, in units of slotLength since
		// 1970.
		own, others map[int64]float64
		// usual is the slow average of the work per second that is offered apart from promised retries.
		usual     float64
		updatedAt time.Time
	}

	// Outlook is what a daemon knows of the work of a service on all daemons, in endpoint seconds a second.
	Outlook struct {
		// Capacity is the work that the endpoints complete, Offered the work that callers have recently asked for.
		Capacity, Offered float64
	}

	// Return is a refused request that its caller will send again.
	Return struct {
		// Work is the endpoint time of the request in seconds.
		Work float64
		// Earliest is the first time at which the retry could be admitted as far as the refusing daemon knows.
		Earliest time.Time
		// Deadline is the request's deadline.
		Deadline time.Time
	}

	// Promise is when a refused caller should retry.
	Promise struct {
		RetryAt time.Time
		// Slot is the number of the time slot, Room whether it had capacity left.
		Slot int64
		Room bool
	}
)

const (
	// slotLength is the length of a time slot. Digests of large fleets arrive every 200 ms or later, so that
	// shorter slots would not be more exact.
	slotLength = 200 * time.Millisecond
	// MaxSlots limits the slots ahead in which work is promised: the patience of a caller with 15 s left.
	MaxSlots = 26
	// burstTime is the time in which the excess of the offered work over the usual one is expected to fall to
	// a third. Bursts of the loads that this is made for last 3 to 7 s.
	burstTime = 5000 * time.Millisecond
	// usualTime is the time constant of the usual work.
	usualTime = 15 * time.Second
)

// NewSchedule returns a schedule without promises.
func NewSchedule() *Schedule {
	return &Schedule{own: map[int64]float64{}, others: map[int64]float64{}}
}

func slotOf(at time.Time) int64 { return at.UnixNano() / int64(slotLength) }

func startOf(slot int64) time.Time { return time.Unix(0, slot*int64(slotLength)) }

// Update advances the usual work and removes the promises of past slots. It is to be called several times a second.
func (s *Schedule) Update(o Outlook, now time.Time) {
	fresh := s.fresh(o, now)
	if s.updatedAt.IsZero() {
		s.usual = fresh
	} else {
		s.usual += (fresh - s.usual) * (1 - math.Exp(-now.Sub(s.updatedAt).Seconds()/usualTime.Seconds()))
	}
	s.updatedAt = now
	// A second of past slots tells how much of the offered work are retries.
	past := func(slot int64, _ float64) bool { return slot < slotOf(now)-slotsPerSecond }
	maps.DeleteFunc(s.own, past)
	maps.DeleteFunc(s.others, past)
}

const slotsPerSecond = int64(time.Second / slotLength)

// fresh returns the offered work without the retries that were promised for the last second.
func (s *Schedule) fresh(o Outlook, now time.Time) float64 {
	retries := 0.0
	for slot := slotOf(now) - slotsPerSecond; slot < slotOf(now); slot++ {
		retries += s.own[slot] + s.others[slot]
	}
	return max(0, o.Offered-retries)
}

// Promise returns when a refused caller should retry, and counts its work there: in the first slot with room that the
// caller can wait for, otherwise in the one with the least work in relation to what is expected, since a burst
// may be over by then. The time is random within the slot. random is in [0, 1).
func (s *Schedule) Promise(r Return, o Outlook, random float64, now time.Time) Promise {
	latest := now.Add(r.Deadline.Sub(now) / patienceDivisor)
	earliest := r.Earliest
	if least := now.Add(minRetryDelay); earliest.Before(least) {
		earliest = least
	}
	if !earliest.Before(latest) {
		return s.take(slotOf(latest), r.Work, latest, false)
	}
	first, last := slotOf(earliest), min(slotOf(latest), slotOf(now)+MaxSlots)
	fresh := s.fresh(o, now)
	best, least := last, math.Inf(1)
	room := false
	for slot := first; slot <= last; slot++ {
		from, to := bounds(slot, earliest, latest)
		if to.Sub(from) < slotLength/4 && first != last {
			// A sliver of a slot would gather retries at one moment.
			continue
		}
		ahead := max(0, startOf(slot).Sub(now).Seconds())
		expected := s.usual + (fresh-s.usual)*math.Exp(-ahead/burstTime.Seconds())
		load := expected*slotLength.Seconds() + s.own[slot] + s.others[slot] + r.Work
		if load <= o.Capacity*slotLength.Seconds() {
			best, room = slot, true
			break
		}
		if load <= least {
			best, least = slot, load
		}
	}
	from, to := bounds(best, earliest, latest)
	return s.take(best, r.Work, from.Add(time.Duration(random*float64(to.Sub(from)))), room)
}

// bounds returns the part of a slot between two times.
func bounds(slot int64, earliest, latest time.Time) (from, to time.Time) {
	from, to = startOf(slot), startOf(slot+1)
	if from.Before(earliest) {
		from = earliest
	}
	if to.After(latest) {
		to = latest
	}
	return from, to
}

func (s *Schedule) take(slot int64, work float64, at time.Time, room bool) Promise {
	s.own[slot] += work
	return Promise{RetryAt: at, Slot: slot, Room: room}
}

// Expected returns how long the endpoints need for the work that is promised for the next slots and not for the present
// one, whose requests have arrived already or are arriving.
func (s *Schedule) Expected(o Outlook, now time.Time) time.Duration {
	if len(s.own)+len(s.others) == 0 || o.Capacity <= 0 {
		return 0
	}
	to, sum := now.Add(slotLength), 0.0
	for slot := slotOf(now) + 1; slot <= slotOf(to); slot++ {
		part := min(1, to.Sub(startOf(slot)).Seconds()/slotLength.Seconds())
		sum += part * (s.own[slot] + s.others[slot])
	}
	return time.Duration(sum / o.Capacity * float64(time.Second))
}

// Usual returns the work per second that is usually offered.
func (s *Schedule) Usual() float64 { return s.usual }

// Own returns a copy of the work that this daemon has promised, by slot.
func (s *Schedule) Own() map[int64]float64 { return maps.Clone(s.own) }

// SetOthers replaces the work that the other daemons have promised, by slot. Past slots, which messages leave out, stay.
func (s *Schedule) SetOthers(promised map[int64]float64, now time.Time) {
	for slot, work := range s.others {
		if slot < slotOf(now) {
			promised[slot] = work
		}
	}
	s.others = promised
}

// Pack returns promised work for a message: the work of each slot in milliseconds, beginning with the slot that contains
// the time, without the empty slots at the end. first identifies that slot among those of the next hours.
func Pack(promised map[int64]float64, now time.Time) (first uint16, packed []int) {
	begin := slotOf(now)
	for _, slot := range slices.Sorted(maps.Keys(promised)) {
		i := slot - begin
		ms := int(math.Round(promised[slot] * 1000))
		if i < 0 || i >= MaxSlots || ms <= 0 {
			continue
		}
		for int64(len(packed)) <= i {
			packed = append(packed, 0)
		}
		packed[i] = ms
	}
	return uint16(begin), packed
}

// Unpack returns the promised work in a message by slot. Slots that are past, or too far ahead for a promise, are left
// out: they come from a daemon whose clock differs.
func Unpack(first uint16, packed []int, now time.Time) map[int64]float64 {
	promised := make(map[int64]float64, len(packed))
	begin := slotOf(now)
	begin += int64(int16(first - uint16(begin)))
	for i, ms := range packed {
		slot := begin + int64(i)
		if ahead := slot - slotOf(now); ahead >= 0 && ahead <= MaxSlots && ms > 0 {
			promised[slot] = float64(ms) / 1000
		}
	}
	return promised
}
