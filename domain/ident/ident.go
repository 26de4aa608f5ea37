// Package ident generates and parses identifiers, and derives hashes, shards and preference
// orders from keys.
//
// # Usage
//
//	id := ident.NewRequestID()
//	created, err := ident.KeyTime(idempotencyKey)
//	order := ident.RendezvousOrder(string(id), daemonNames)
//
// Rendezvous hashing gives every process the same preference order for a key without
// shared state. When a member leaves, only the keys assigned to it move.
package ident

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

type (
	// RequestID identifies an accepted model request across daemons and reconnects.
	RequestID string

	// AttemptID identifies one attempt of a request at one endpoint.
	AttemptID string

	// Incarnation identifies one run of a daemon process. A restarted daemon gets a new
	// incarnation, so that records of an earlier run are not mistaken for its own.
	// Incarnations sort by process start time.
	Incarnation string
)

// ErrKeyFormat reports an idempotency key that is not a UUID of version 7.
var ErrKeyFormat = eris.New("idempotency key is not a UUID of version 7")

// NewRequestID returns a new random request identifier.
func NewRequestID() RequestID { return RequestID(uuid.NewString()) }

// NewAttemptID returns a new random attempt identifier.
func NewAttemptID() AttemptID { return AttemptID(uuid.NewString()) }

// NewIncarnation returns a new incarnation, a version 7 UUID. It must sort by time, because in
// digests the entry of a later run replaces that of an earlier one.
func NewIncarnation() Incarnation { return Incarnation(NewKey()) }

// NewRecordID returns a new random identifier for a log record.
func NewRecordID() string { return uuid.NewString() }

// NewKey returns a new idempotency key with the current time. It panics if the system's
// random source fails, as uuid.NewString does.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }

// NewKeyAt returns an idempotency key with the given time, to the millisecond.
func NewKeyAt(at time.Time) string {
	key := uuid.Must(uuid.NewV7())
	milliseconds := at.UnixMilli()
	for i := range 6 {
		key[i] = byte(milliseconds >> (8 * (5 - i)))
	}
	return key.String()
}

// KeyTime returns the creation time of an idempotency key, to the millisecond. It returns
// ErrKeyFormat if the key is not a version 7 UUID in its canonical form.
func KeyTime(key string) (time.Time, error) {
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != 7 || parsed.String() != key {
		return time.Time{}, ErrKeyFormat
	}
	var milliseconds int64
	for i := range 6 {
		milliseconds = milliseconds<<8 | int64(parsed[i])
	}
	return time.UnixMilli(milliseconds), nil
}

// Fingerprint returns the hex SHA-256 of the account and the body. Requests with equal
// fingerprints are treated as the same work, for example when counting endpoint crashes.
func Fingerprint(account string, body []byte) string {
	hash := sha256.New()
	hash.Write([]byte(account))
	hash.Write([]byte{0})
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

// HashSecret returns the hex SHA-256 of a secret key. Only this hash is stored.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// RendezvousOrder returns the names in descending order of their hash with the key, and in
// ascending order of name where hashes are equal. It is deterministic across processes.
func RendezvousOrder(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	scoredNames := make([]scored, 0, len(names))
	for _, n := range names {
		scoredNames = append(scoredNames, scored{name: n, score: xxhash.Sum64String(key + "\x00" + n)})
	}
	slices.SortFunc(scoredNames, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	order := make([]string, 0, len(scoredNames))
	for _, r := range scoredNames {
		order = append(order, r.name)
	}
	return order
}

// Shard returns the shard of a key, from 0 up to count-1.
func Shard(key string, count int) int {
	return int(xxhash.Sum64String(key) % uint64(count))
}
