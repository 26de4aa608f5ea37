// Package hold replicates accepted model requests so that they survive the loss of a daemon or an
// endpoint, and decides which tokens may be sent to a caller.
//
// Each request has an owner, the daemon that serves it, and a holder, another daemon that keeps
// a copy of the request and its tokens. Store is the holder's side: the copies that a daemon
// keeps for others. Owned is the owner's side: one request that this daemon serves. A token is
// sent to a caller only after the holder has acknowledged it, so that a daemon that takes the
// request over can continue from the end of the caller's copy.
//
// A record's epoch rises with each change of its owner or holder; the copy with the highest epoch
// is the current one. A branch identifies one ownership of a request and the tokens that it added.
//
// # Usage
//
//	store, commands := store.Update(hold.ProgressReceived{Now: now, Update: update})
//	owned, commands := owned.Update(hold.Chunk{Attempt: attempt, Offset: 4, Token: "line"})
//
// The caller of Update executes the commands and reports their results as messages.
package hold

import (
	"slices"
	"time"

	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/wire"
)

type (
	// Limits bound a store.
	Limits struct {
		MaxRecords int
		// MaxBytes bounds the sum of bodies and tokens.
		MaxBytes int
		// KeepPeriod is how long a record in progress is kept after its latest update.
		KeepPeriod time.Duration
		// AnswerPeriod is how long an ended record is kept after its latest update.
		AnswerPeriod time.Duration
	}

	// Store holds copies of requests that other daemons own. Update modifies maps that it shares
	// with earlier values of the store, so only the latest value may be used.
	Store struct {
		limits  Limits
		records map[string]wire.HeldRequest
		// superseded holds earlier copies with tokens that the current record does not have, after
		// two owners continued a request differently. A caller may have received tokens of any copy.
		superseded map[string][]wire.HeldRequest
		// finishedIDs is the eviction queue: the ended records in the order in which they ended.
		finishedIDs []string
		// ownedEpochs maps each request that this daemon owns to the epoch of its ownership.
		ownedEpochs map[string]int64
		bytes       int
	}

	// StoreMessage is a message to a store.
	StoreMessage interface{ storeMessage() }

	// StoreRequested is a request to store a whole record.
	StoreRequested struct {
		Now    time.Time
		Record wire.HeldRequest
		// Acknowledged says that a holder has acknowledged the whole record, so callers may have
		// received all of it. The store then keeps it even if its own copy takes precedence.
		Acknowledged bool
	}

	// ProgressReceived is a request to append tokens to a record.
	ProgressReceived struct {
		Now    time.Time
		Update wire.ProgressUpdate
	}

	// TakeOverRequested is a request to transfer a record to a new owner.
	TakeOverRequested struct {
		Now     time.Time
		Request wire.TakeOverRequest
	}

	// OwnershipAcquired reports that this daemon has become the owner of a request. The store drops a copy
	// that the record covers, since another daemon could take over the outdated copy instead of
	// the current answer. From then on it rejects updates with a lower epoch.
	OwnershipAcquired struct{ Record wire.HeldRequest }

	// OwnershipReleased reports that this daemon no longer owns a request.
	OwnershipReleased struct{ RequestID string }

	// ExpiryTick expires the copies whose KeepUntil has passed.
	ExpiryTick struct{ Now time.Time }

	// StoreCommand is a reply of the store or a notice of an expired record.
	StoreCommand interface{ storeCommand() }

	// StoreResult answers StoreRequested.
	StoreResult struct{ Reply wire.HoldReply }

	// ProgressResult answers ProgressReceived.
	ProgressResult struct{ Status wire.ProgressStatus }

	// TakeOverResult answers TakeOverRequested.
	TakeOverResult struct{ Reply wire.TakeOverReply }

	// RecordExpired reports that the record of a request has expired.
	RecordExpired struct{ RequestID string }
)

func (StoreRequested) storeMessage()    {}
func (ProgressReceived) storeMessage()  {}
func (TakeOverRequested) storeMessage() {}
func (OwnershipAcquired) storeMessage() {}
func (OwnershipReleased) storeMessage() {}
func (ExpiryTick) storeMessage()        {}

func (StoreResult) storeCommand()    {}
func (ProgressResult) storeCommand() {}
func (TakeOverResult) storeCommand() {}
func (RecordExpired) storeCommand()  {}

// NewStore returns an empty store.
func NewStore(limits Limits) Store {
	return Store{
		limits: limits, records: map[string]wire.HeldRequest{},
		superseded: map[string][]wire.HeldRequest{}, ownedEpochs: map[string]int64{},
	}
}

// Len returns the number of records.
func (s Store) Len() int { return len(s.records) }

// Bytes returns the size of all bodies and tokens, superseded copies included.
func (s Store) Bytes() int { return s.bytes }

// Lookup returns the copies of a request that belong to the account, the current one first.
func (s Store) Lookup(account, requestID string) []wire.HeldRequest {
	var found []wire.HeldRequest
	if record, ok := s.records[requestID]; ok && record.Account == account {
		found = append(found, record)
	}
	for _, record := range s.superseded[requestID] {
		if record.Account == account {
			found = append(found, record)
		}
	}
	return found
}

// Update applies a message and returns the new store and its commands.
func (s Store) Update(message StoreMessage) (Store, []StoreCommand) {
	switch m := message.(type) {
	case StoreRequested:
		return s.hold(m)
	case ProgressReceived:
		return s.progress(m)
	case TakeOverRequested:
		return s.takeOver(m)
	case OwnershipAcquired:
		s.ownedEpochs[m.Record.RequestID] = m.Record.Epoch
		s.dropCoveredCopies(m.Record)
		if Covers(m.Record, endPosition(s.records[m.Record.RequestID])) {
			s.bytes -= size(s.records[m.Record.RequestID])
			delete(s.records, m.Record.RequestID)
		}
	case OwnershipReleased:
		delete(s.ownedEpochs, m.RequestID)
	case ExpiryTick:
		return s.expire(m.Now)
	}
	return s, nil
}

func (s Store) hold(m StoreRequested) (Store, []StoreCommand) {
	reply := func(status wire.ProgressStatus, epoch int64) (Store, []StoreCommand) {
		return s, []StoreCommand{StoreResult{Reply: wire.HoldReply{Status: status, Epoch: epoch}}}
	}
	record := m.Record
	current, ok := s.records[record.RequestID]
	s.evict(size(record)-size(current), !ok)
	switch {
	case record.Epoch < s.ownedEpochs[record.RequestID]:
		return reply(wire.ProgressStale, s.ownedEpochs[record.RequestID])
	case ok && (current.Account != record.Account || current.Fingerprint != record.Fingerprint):
		// The identifier belongs to another request, whose record must not be replaced.
		return reply(wire.ProgressStale, current.Epoch)
	case ok && (record.Epoch < current.Epoch || record.Epoch == current.Epoch && !sameOwnership(record, current)):
		if m.Acknowledged {
			s.keepSuperseded(record, current, m.Now)
		}
		return reply(wire.ProgressStale, current.Epoch)
	case ok && record.Epoch == current.Epoch && LastBranch(record) == LastBranch(current) && alreadyStored(record, current):
		// A delayed duplicate of an earlier request; the stored record already has its tokens.
		return reply(wire.ProgressTaken, current.Epoch)
	case !ok && len(s.records) >= s.limits.MaxRecords,
		s.bytes-size(current)+size(record) > s.limits.MaxBytes:
		return reply(wire.ProgressFull, current.Epoch)
	}
	record.Tokens = slices.Clone(record.Tokens)
	record.Branches = slices.Clone(record.Branches)
	s.put(current, record, m.Now)
	s.keepSuperseded(current, record, m.Now)
	return reply(wire.ProgressTaken, record.Epoch)
}

// sameOwnership reports whether a record with the current record's epoch comes from the same
// ownership. The owner's name is not enough: a daemon that has lost a request may accept it again
// with the same epoch, and its tokens then differ.
func sameOwnership(record, current wire.HeldRequest) bool {
	if LastBranch(record) == LastBranch(current) {
		return true
	}
	return record.Owner == current.Owner && len(record.Branches) == len(current.Branches)+1 &&
		slices.Equal(record.Branches[:len(current.Branches)], current.Branches)
}

// LastBranch returns the identifier of the record's latest branch, or "" if it has none.
func LastBranch(record wire.HeldRequest) string {
	if len(record.Branches) == 0 {
		return ""
	}
	return record.Branches[len(record.Branches)-1].ID
}

// alreadyStored reports whether the current record has at least as many tokens as the record, and an
// end if the record has one.
func alreadyStored(record, current wire.HeldRequest) bool {
	return len(record.Tokens) <= len(current.Tokens) && (ended(current) || !ended(record))
}

// ended reports whether the record has a finish reason or a refusal.
func ended(record wire.HeldRequest) bool { return record.Finish != "" || record.Refusal != 0 }

func (s Store) progress(m ProgressReceived) (Store, []StoreCommand) {
	reply := func(status wire.ProgressStatus) (Store, []StoreCommand) {
		return s, []StoreCommand{ProgressResult{Status: status}}
	}
	update := m.Update
	current, ok := s.records[update.RequestID]
	switch {
	case update.Epoch < s.ownedEpochs[update.RequestID]:
		return reply(wire.ProgressStale)
	case !ok:
		return reply(wire.ProgressMissing)
	case update.Epoch < current.Epoch || update.Epoch == current.Epoch && update.Branch != LastBranch(current):
		return reply(wire.ProgressStale)
	case update.Epoch > current.Epoch || update.Offset < 0 || update.Offset > len(current.Tokens):
		return reply(wire.ProgressMissing)
	}
	record := current
	// Tokens that the record already has are a retry of an update whose reply was lost.
	if repeated := len(current.Tokens) - update.Offset; repeated < len(update.Tokens) {
		record.Tokens = append(current.Tokens, update.Tokens[repeated:]...)
	}
	if !ended(current) {
		record.Finish, record.Refusal = update.Finish, update.Refusal
	}
	s.evict(size(record)-size(current), false)
	if s.bytes-size(current)+size(record) > s.limits.MaxBytes {
		return reply(wire.ProgressFull)
	}
	s.put(current, record, m.Now)
	return reply(wire.ProgressTaken)
}

// put replaces a record and sets its expiry. The receiver is the copy of the store that Update
// returns.
func (s *Store) put(previous, record wire.HeldRequest, now time.Time) {
	record.KeepUntil = now.Add(s.limits.KeepPeriod)
	if ended(record) {
		record.KeepUntil = now.Add(s.limits.AnswerPeriod)
	}
	s.queueFinished(previous, record)
	s.bytes += size(record) - size(previous)
	s.records[record.RequestID] = record
}

func (s Store) takeOver(m TakeOverRequested) (Store, []StoreCommand) {
	copies := s.Lookup(m.Request.Account, m.Request.RequestID)
	i := slices.IndexFunc(copies, func(r wire.HeldRequest) bool {
		return m.Request.Branch == "" || LastBranch(r) == m.Request.Branch
	})
	if i < 0 {
		return s, []StoreCommand{TakeOverResult{}}
	}
	current, record := s.records[m.Request.RequestID], copies[i]
	record.Epoch = max(current.Epoch, record.Epoch) + 1
	record.Owner = m.Request.NewOwner
	if _, ok := s.records[record.RequestID]; ok || len(s.records) < s.limits.MaxRecords {
		s.put(current, record, m.Now)
		s.keepSuperseded(current, record, m.Now)
		record = s.records[record.RequestID]
	}
	return s, []StoreCommand{TakeOverResult{Reply: wire.TakeOverReply{Taken: true, Record: record}}}
}

func (s Store) expire(now time.Time) (Store, []StoreCommand) {
	var ids []string
	for id, r := range s.records {
		if now.After(r.KeepUntil) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	commands := make([]StoreCommand, 0, len(ids))
	for _, id := range ids {
		s.remove(id)
		commands = append(commands, RecordExpired{RequestID: id})
	}
	for id := range s.superseded {
		s.dropSuperseded(id, func(r wire.HeldRequest) bool { return now.After(r.KeepUntil) })
	}
	// Without this, the queue would grow by one identifier for each answer in a store that never
	// fills up.
	s.finishedIDs = slices.DeleteFunc(s.finishedIDs, func(id string) bool { return !ended(s.records[id]) })
	return s, commands
}

// size returns the bytes of the body and the tokens, with 16 bytes for the string header of each
// token.
func size(record wire.HeldRequest) int {
	total := len(record.Body)
	for _, t := range record.Tokens {
		total += len(t) + 16
	}
	return total
}

// HolderOrder returns the possible holders of a request in the order of preference: daemons outside
// the owner's data centre first, each group in the rendezvous order of the request. dataCentres
// maps each live daemon to its data centre.
func HolderOrder(requestID, owner string, dataCentres map[string]string) []string {
	names := make([]string, 0, len(dataCentres))
	for name := range dataCentres {
		if name != owner {
			names = append(names, name)
		}
	}
	order := ident.RendezvousOrder(requestID, names)
	slices.SortStableFunc(order, func(a, b string) int {
		return centreRank(dataCentres[a] == dataCentres[owner]) - centreRank(dataCentres[b] == dataCentres[owner])
	})
	return order
}

// centreRank ranks daemons in the owner's data centre after all others.
func centreRank(sameCentre bool) int {
	if sameCentre {
		return 1
	}
	return 0
}
