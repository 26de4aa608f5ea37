package fleet

import (
	"maps"
	"strconv"
	"strings"
	"time"

	"lentilstage.dev/wire/wire"
)

type (
	// slotKey identifies a slot of a version.
	slotKey struct {
		version string
		number  int
	}

	// pendingEnd is the time at which an instance is ended if the cause still holds.
	pendingEnd struct {
		cause    Cause
		deadline time.Time
	}

	// State is the planner's state that a daemon keeps from one plan to the next. It is
	// immutable and its zero value is empty. A daemon that lost it repeats old start orders;
	// the cloud recognises their client tokens and returns the instances that they started.
	State struct {
		// retired is the highest generation of each slot whose instance is known to be leaving
		// or ended.
		retired      map[slotKey]int
		refusedUntil map[Kind]time.Time
		pendingEnds  map[string]pendingEnd
	}
)

// ClientToken returns the client token of a slot's generation.
func ClientToken(owner, version string, number, generation int) string {
	return strings.Join([]string{owner, version, strconv.Itoa(number), strconv.Itoa(generation)}, "/")
}

// parseClientToken returns the slot and the generation in a client token. It returns false if
// the token has another owner or another format.
func parseClientToken(owner, token string) (slotKey, int, bool) {
	rest, hasOwner := strings.CutPrefix(token, owner+"/")
	parts := strings.Split(rest, "/")
	if !hasOwner || len(parts) != 3 {
		return slotKey{}, 0, false
	}
	number, err := strconv.Atoi(parts[1])
	if err != nil {
		return slotKey{}, 0, false
	}
	generation, err := strconv.Atoi(parts[2])
	key := slotKey{version: parts[0], number: number}
	if err != nil || number < 1 || generation < 1 || token != ClientToken(owner, key.version, number, generation) {
		return slotKey{}, 0, false
	}
	return key, generation, true
}

// WithAnswer returns the state after the cloud answered a start order with the instance. An
// instance that is leaving or ended retires its generation. WithAnswer then reports true, and
// the slot needs a start order with the next generation.
func (s State) WithAnswer(owner string, instance wire.Instance) (State, bool) {
	key, generation, ok := parseClientToken(owner, instance.ClientToken)
	if !ok || instance.State != wire.Leaving {
		return s, false
	}
	return s.withRetired(key, generation), true
}

// WithRefused returns the state after the cloud refused to start an instance of the kind. Plans
// exclude the kind until the deadline.
func (s State) WithRefused(kind Kind, deadline time.Time) State {
	next := make(map[Kind]time.Time, len(s.refusedUntil)+1)
	maps.Copy(next, s.refusedUntil)
	next[kind] = deadline
	s.refusedUntil = next
	return s
}

// RefusedUntil returns the time until which plans exclude the kind, or the zero time.
func (s State) RefusedUntil(kind Kind) time.Time { return s.refusedUntil[kind] }

// withRetired returns the state with all generations of the slot up to the given one retired.
func (s State) withRetired(key slotKey, generation int) State {
	if s.retired[key] >= generation {
		return s
	}
	next := make(map[slotKey]int, len(s.retired)+1)
	maps.Copy(next, s.retired)
	next[key] = generation
	s.retired = next
	return s
}

// withoutExpired returns the state without refusals whose deadline has passed.
func (s State) withoutExpired(now time.Time) State {
	kept := make(map[Kind]time.Time, len(s.refusedUntil))
	for k, deadline := range s.refusedUntil {
		if deadline.After(now) {
			kept[k] = deadline
		}
	}
	s.refusedUntil = kept
	return s
}

// withOnlyVersions returns the state without the slots of other versions.
func (s State) withOnlyVersions(versions map[string]bool) State {
	kept := make(map[slotKey]int, len(s.retired))
	for k, generation := range s.retired {
		if versions[k.version] {
			kept[k] = generation
		}
	}
	s.retired = kept
	return s
}
