// Package hold decides how an accepted model request survives the loss of a daemon or
// an endpoint, and which tokens a caller may be sent.
//
// Store is the holder's side: the copies that a daemon keeps for other daemons. Owned is
// the owner's side: one request that this daemon serves. A token goes to a caller only
// after the holder has it, so that a daemon that takes the request over continues where
// the caller's copy ends.
//
// # Usage
//
//	store, commands := store.Update(hold.ProgressAsked{Now: now, Update: update})
//	owned, commands := owned.Update(hold.Chunk{Attempt: attempt, Offset: 4, Token: "line"})
//
// The effect layer carries out the commands and reports their results as messages.
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
		// KeepPeriod is how long a record is kept after its latest update, and AnswerPeriod
		// how long one with its whole answer.
		KeepPeriod   time.Duration
		AnswerPeriod time.Duration
	}

	// Store holds copies of requests that other daemons own. Update changes the maps that
	// the store shares with earlier values of it, so only the latest value may be used.
	Store struct {
		limits  Limits
		records map[string]wire.HeldRequest
		// former are copies that takeovers have continued in another way than the record, so
		// that the record does not cover them. A caller may have seen tokens of either.
		former map[string][]wire.HeldRequest
		// finished are the ended records in the order of their ends.
		finished []string
		// owned holds the epochs with which this daemon became the owner of requests.
		owned map[string]int64
		bytes int
	}

	// StoreMessage is a message to a store.
	StoreMessage interface{ storeMessage() }

	// KeepAsked asks the store to keep a whole record.
	KeepAsked struct {
		Now    time.Time
		Record wire.HeldRequest
		// Acknowledged says that a holder had all of the record, so that callers may have seen
		// it. Such a copy is kept beside one that ranks before it.
		Acknowledged bool
	}

	// ProgressAsked asks the store to add tokens to a record.
	ProgressAsked struct {
		Now    time.Time
		Update wire.ProgressUpdate
	}

	// TakeOverAsked asks the store to give a record to a new owner.
	TakeOverAsked struct {
		Now     time.Time
		Request wire.TakeOverRequest
	}

	// OwnedHere says that this daemon has become the owner of a request. The store drops a
	// copy that the record covers, since another daemon could take the old copy over
	// instead of the present answer, and refuses updates with an earlier epoch.
	OwnedHere struct{ Record wire.HeldRequest }

	// OwnedElsewhere says that this daemon no longer owns a request.
	OwnedElsewhere struct{ RequestID string }

	// TimePassed drops the records whose time has passed.
	TimePassed struct{ Now time.Time }

	// StoreCommand is an answer of a store.
	StoreCommand interface{ storeCommand() }

	// KeepAnswer answers KeepAsked.
	KeepAnswer struct{ Reply wire.HoldReply }

	// ProgressAnswer answers ProgressAsked.
	ProgressAnswer struct{ Status wire.ProgressStatus }

	// TakeOverAnswer answers TakeOverAsked.
	TakeOverAnswer struct{ Reply wire.TakeOverReply }

	// Dropped names a record that was dropped because its time has passed.
	Dropped struct{ RequestID string }
)

func (KeepAsked) storeMessage()      {}
func (ProgressAsked) storeMessage()  {}
func (TakeOverAsked) storeMessage()  {}
func (OwnedHere) storeMessage()      {}
func (OwnedElsewhere) storeMessage() {}
func (TimePassed) storeMessage()     {}

func (KeepAnswer) storeCommand()     {}
func (ProgressAnswer) storeCommand() {}
func (TakeOverAnswer) storeCommand() {}
func (Dropped) storeCommand()        {}

// NewStore returns an empty store.
func NewStore(limits Limits) Store {
	return Store{
		limits: limits, records: map[string]wire.HeldRequest{},
		former: map[string][]wire.HeldRequest{}, owned: map[string]int64{},
	}
}

// Len returns the number of records.
func (s Store) Len() int { return len(s.records) }

// Bytes returns the size of all bodies and tokens.
func (s Store) Bytes() int { return s.bytes }

// Lookup returns the account's copies of a request, the present one first. Another account's
// are not found.
func (s Store) Lookup(account, requestID string) []wire.HeldRequest {
	var found []wire.HeldRequest
	if record, ok := s.records[requestID]; ok && record.Account == account {
		found = append(found, record)
	}
	for _, record := range s.former[requestID] {
		if record.Account == account {
			found = append(found, record)
		}
	}
	return found
}

// Update applies a message and returns the store and its answers.
func (s Store) Update(message StoreMessage) (Store, []StoreCommand) {
	switch m := message.(type) {
	case KeepAsked:
		return s.hold(m)
	case ProgressAsked:
		return s.progress(m)
	case TakeOverAsked:
		return s.takeOver(m)
	case OwnedHere:
		s.owned[m.Record.RequestID] = m.Record.Epoch
		s.dropCovered(m.Record)
		if Covers(m.Record, end(s.records[m.Record.RequestID])) {
			s.bytes -= size(s.records[m.Record.RequestID])
			delete(s.records, m.Record.RequestID)
		}
	case OwnedElsewhere:
		delete(s.owned, m.RequestID)
	case TimePassed:
		return s.expire(m.Now)
	}
	return s, nil
}

func (s Store) hold(m KeepAsked) (Store, []StoreCommand) {
	answer := func(status wire.ProgressStatus, epoch int64) (Store, []StoreCommand) {
		return s, []StoreCommand{KeepAnswer{Reply: wire.HoldReply{Status: status, Epoch: epoch}}}
	}
	record := m.Record
	known, ok := s.records[record.RequestID]
	s.makeRoom(size(record)-size(known), !ok)
	switch {
	case record.Epoch < s.owned[record.RequestID]:
		return answer(wire.ProgressStale, s.owned[record.RequestID])
	case ok && (known.Account != record.Account || known.Fingerprint != record.Fingerprint):
		// The identifier is in use for another request, whose record must not be replaced.
		return answer(wire.ProgressStale, known.Epoch)
	case ok && (record.Epoch < known.Epoch || record.Epoch == known.Epoch && !sameOwnership(record, known)):
		if m.Acknowledged {
			s.displace(record, known, m.Now)
		}
		return answer(wire.ProgressStale, known.Epoch)
	case ok && record.Epoch == known.Epoch && LastBranch(record) == LastBranch(known) && covered(record, known):
		// A late copy of an earlier hold; the held record already goes further.
		return answer(wire.ProgressTaken, known.Epoch)
	case !ok && len(s.records) >= s.limits.MaxRecords,
		s.bytes-size(known)+size(record) > s.limits.MaxBytes:
		return answer(wire.ProgressFull, known.Epoch)
	}
	record.Tokens = slices.Clone(record.Tokens)
	record.Branches = slices.Clone(record.Branches)
	s.put(known, record, m.Now)
	s.displace(known, record, m.Now)
	return answer(wire.ProgressTaken, record.Epoch)
}

// sameOwnership reports whether a record with the held record's epoch comes from the
// owner that has the epoch here. The owner's name is not enough, since a daemon that has
// lost a request may accept it again with the same epoch and then has other tokens.
func sameOwnership(record, held wire.HeldRequest) bool {
	if LastBranch(record) == LastBranch(held) {
		return true
	}
	return record.Owner == held.Owner && len(record.Branches) == len(held.Branches)+1 &&
		slices.Equal(record.Branches[:len(held.Branches)], held.Branches)
}

// LastBranch returns the identifier of the latest ownership that has added to the record.
func LastBranch(record wire.HeldRequest) string {
	if len(record.Branches) == 0 {
		return ""
	}
	return record.Branches[len(record.Branches)-1].ID
}

// covered reports whether the held record says all that the record says.
func covered(record, held wire.HeldRequest) bool {
	return len(record.Tokens) <= len(held.Tokens) && (ended(held) || !ended(record))
}

func ended(record wire.HeldRequest) bool { return record.Finish != "" || record.Refusal != 0 }

func (s Store) progress(m ProgressAsked) (Store, []StoreCommand) {
	answer := func(status wire.ProgressStatus) (Store, []StoreCommand) {
		return s, []StoreCommand{ProgressAnswer{Status: status}}
	}
	update := m.Update
	known, ok := s.records[update.RequestID]
	switch {
	case update.Epoch < s.owned[update.RequestID]:
		return answer(wire.ProgressStale)
	case !ok:
		return answer(wire.ProgressMissing)
	case update.Epoch < known.Epoch || update.Epoch == known.Epoch && update.Branch != LastBranch(known):
		return answer(wire.ProgressStale)
	case update.Epoch > known.Epoch || update.Offset < 0 || update.Offset > len(known.Tokens):
		return answer(wire.ProgressMissing)
	}
	record := known
	// Tokens below the held offset are a repeat of an update whose answer was lost.
	if fresh := len(known.Tokens) - update.Offset; fresh < len(update.Tokens) {
		record.Tokens = append(known.Tokens, update.Tokens[fresh:]...)
	}
	if !ended(known) {
		record.Finish, record.Refusal = update.Finish, update.Refusal
	}
	s.makeRoom(size(record)-size(known), false)
	if s.bytes-size(known)+size(record) > s.limits.MaxBytes {
		return answer(wire.ProgressFull)
	}
	s.put(known, record, m.Now)
	return answer(wire.ProgressTaken)
}

// put replaces a record. The receiver is the copy of the store that Update returns.
func (s *Store) put(known, record wire.HeldRequest, now time.Time) {
	record.KeepUntil = now.Add(s.limits.KeepPeriod)
	if ended(record) {
		record.KeepUntil = now.Add(s.limits.AnswerPeriod)
	}
	s.noteFinished(known, record)
	s.bytes += size(record) - size(known)
	s.records[record.RequestID] = record
}

func (s Store) takeOver(m TakeOverAsked) (Store, []StoreCommand) {
	copies := s.Lookup(m.Request.Account, m.Request.RequestID)
	i := slices.IndexFunc(copies, func(r wire.HeldRequest) bool {
		return m.Request.Branch == "" || LastBranch(r) == m.Request.Branch
	})
	if i < 0 {
		return s, []StoreCommand{TakeOverAnswer{}}
	}
	known, record := s.records[m.Request.RequestID], copies[i]
	record.Epoch = max(known.Epoch, record.Epoch) + 1
	record.Owner = m.Request.NewOwner
	if _, ok := s.records[record.RequestID]; ok || len(s.records) < s.limits.MaxRecords {
		s.put(known, record, m.Now)
		s.displace(known, record, m.Now)
		record = s.records[record.RequestID]
	}
	return s, []StoreCommand{TakeOverAnswer{Reply: wire.TakeOverReply{Taken: true, Record: record}}}
}

func (s Store) expire(now time.Time) (Store, []StoreCommand) {
	var names []string
	for id, r := range s.records {
		if now.After(r.KeepUntil) {
			names = append(names, id)
		}
	}
	slices.Sort(names)
	commands := make([]StoreCommand, 0, len(names))
	for _, id := range names {
		s.remove(id)
		commands = append(commands, Dropped{RequestID: id})
	}
	for id := range s.former {
		s.dropFormer(id, func(r wire.HeldRequest) bool { return now.After(r.KeepUntil) })
	}
	// The list would otherwise grow by one name for each answer in a store that never fills.
	s.finished = slices.DeleteFunc(s.finished, func(id string) bool { return !ended(s.records[id]) })
	return s, commands
}

// size counts the bytes of body and tokens; 16 bytes a token stand for its string header.
func size(record wire.HeldRequest) int {
	total := len(record.Body)
	for _, t := range record.Tokens {
		total += len(t) + 16
	}
	return total
}

// HolderOrder returns the daemons that may hold a request in the order of preference:
// by rendezvous order, those outside the owner's data centre first. Centres maps each
// live daemon to its data centre.
func HolderOrder(requestID, owner string, centres map[string]string) []string {
	names := make([]string, 0, len(centres))
	for name := range centres {
		if name != owner {
			names = append(names, name)
		}
	}
	order := ident.RendezvousOrder(requestID, names)
	slices.SortStableFunc(order, func(a, b string) int {
		return near(centres[a] == centres[owner]) - near(centres[b] == centres[owner])
	})
	return order
}

func near(same bool) int {
	if same {
		return 1
	}
	return 0
}
