package claim

import (
	"time"

	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/wire"
)

type (
	// State is the state of a key according to its records.
	State string

	// View is a snapshot of the index entry of one account and key.
	View struct {
		State State
		// Generation is the generation of the index; see Index.Generation.
		Generation int
		// Next is the offset after the last record that the index has applied.
		Next int64
		// ClaimID, Incarnation, BodyHash and Offset describe the deciding claim.
		ClaimID     string
		Incarnation ident.Incarnation
		BodyHash    string
		Offset      int64
		// Status, Result and TooLarge are the service's answer in the state Ended.
		Status   int
		Result   []byte
		TooLarge bool
		// ResultOnLog reports that the result was evicted from memory and must be read from the log
		// at EndOffset, the offset of the Done record.
		ResultOnLog bool
		EndOffset   int64
	}

	// Index is an in-memory index of one shard stream, built by applying its records in offset
	// order. It is mutable and not safe for concurrent use.
	Index struct {
		window      time.Duration
		next        int64
		initialized bool
		generation  int
		// latestLogTime is the highest log time of the applied records.
		latestLogTime time.Time
		entries       map[entryKey]View
		// keysByMinute groups the entries by the minute of their key's time, so that an eviction
		// does not scan all entries.
		keysByMinute map[int64][]entryKey
		// evictedBefore is the minute before which all entries have been evicted.
		evictedBefore int64
		// cachedResults lists the keys whose result is in memory, in log order.
		cachedResults  []entryKey
		resultBytes    int
		maxResultBytes int
	}

	// ChangedKey identifies an account and key whose view has changed.
	ChangedKey struct{ Account, Key string }

	entryKey struct{ account, key string }
)

const (
	// Undecided means that the key has no deciding record.
	Undecided State = "Undecided"
	// Claimed means that a claim decides the key and has no end record yet.
	Claimed State = "Claimed"
	// Closed means that a Close record decides the key.
	Closed State = "Closed"
	// Ended means that the winner stored the service's answer.
	Ended State = "Ended"
	// GivenUp means that the winner abandoned the claim.
	GivenUp State = "GivenUp"
	// TooOld means that the key is older than the range that the index can decide.
	TooOld State = "TooOld"

	// WindowSlack extends the key window for records. It covers a call that arrives with a key
	// just inside the window: the deadline of a plain call (at most 30 s) plus the clock errors
	// of the daemon and the log.
	WindowSlack = time.Minute
)

// NewIndex returns an empty index. The window is the maximum age of a valid key; it must be at
// most half of the log's retention. The newest results are kept in memory, up to maxResultBytes
// bytes in total; older ones are read from the log on demand.
func NewIndex(window time.Duration, maxResultBytes int) *Index {
	return &Index{
		window:         window,
		entries:        map[entryKey]View{},
		keysByMinute:   map[int64][]entryKey{},
		maxResultBytes: maxResultBytes,
	}
}

// Next returns the offset of the next record to read.
func (x *Index) Next() int64 { return x.next }

// Generation returns the number of times that the index was reset because records expired from the
// log before it had read them. A claim may only win in the generation in which its call first read
// the shard to the tail, since the lost records may include an earlier claim.
func (x *Index) Generation() int { return x.generation }

// ResultBytes returns the total size of the results in memory, in bytes.
func (x *Index) ResultBytes() int { return x.resultBytes }

// Len returns the number of keys that the index holds.
func (x *Index) Len() int { return len(x.entries) }

// ApplyPage applies a page of records. Records below Next are skipped, so a page that is read twice
// has no effect. It returns the keys whose view has changed and whether records were lost.
func (x *Index) ApplyPage(page wire.LogPage) (changed []ChangedKey, lost bool) {
	if page.Oldest > x.next {
		if x.initialized {
			lost = true
			x.generation++
			clear(x.entries)
			clear(x.keysByMinute)
			x.cachedResults, x.resultBytes = nil, 0
		}
		x.next = page.Oldest
	}
	x.initialized = true
	for _, r := range page.Records {
		if r.Offset < x.next {
			continue
		}
		if k, ok := x.applyRecord(r); ok {
			changed = append(changed, k)
		}
		x.next = r.Offset + 1
	}
	x.evictExpired()
	return changed, lost
}

// applyRecord applies one record and returns its key if the key's view has changed. Records that
// cannot be decoded are skipped, so that all readers skip the same ones.
func (x *Index) applyRecord(stored wire.LogRecord) (ChangedKey, bool) {
	if stored.Time.After(x.latestLogTime) {
		x.latestLogTime = stored.Time
	}
	record, err := Decode(stored.Data)
	if err != nil || x.tooOld(record.Key) {
		return ChangedKey{}, false
	}
	k := entryKey{record.Account, record.Key}
	entry, decided := x.entries[k]
	switch record.Kind {
	case ClaimRecord, CloseRecord:
		if decided {
			return ChangedKey{}, false
		}
		entry = View{State: Claimed, Offset: stored.Offset}
		if record.Kind == CloseRecord {
			entry.State = Closed
		} else {
			entry.ClaimID, entry.Incarnation, entry.BodyHash = stored.ID, record.Incarnation, record.BodyHash
		}
		at, _ := ident.KeyTime(record.Key)
		x.keysByMinute[at.Unix()/60] = append(x.keysByMinute[at.Unix()/60], k)
	case DoneRecord:
		if entry.State != Claimed || entry.ClaimID != record.ClaimID {
			return ChangedKey{}, false
		}
		entry.State, entry.EndOffset = Ended, stored.Offset
		entry.Status, entry.Result, entry.TooLarge = record.Status, record.Result, record.TooLarge
		x.entries[k] = entry
		x.cacheResult(k)
		return ChangedKey{Account: record.Account, Key: record.Key}, true
	case AbandonedRecord:
		if entry.State != Claimed || entry.ClaimID != record.ClaimID {
			return ChangedKey{}, false
		}
		entry.State = GivenUp
	}
	x.entries[k] = entry
	return ChangedKey{Account: record.Account, Key: record.Key}, true
}

// cacheResult adds a new result to the cache and evicts the oldest ones while the cache is over
// its size limit.
func (x *Index) cacheResult(k entryKey) {
	x.cachedResults = append(x.cachedResults, k)
	x.resultBytes += len(x.entries[k].Result)
	for x.resultBytes > x.maxResultBytes {
		x.evictResult(x.cachedResults[0])
		x.cachedResults = x.cachedResults[1:]
	}
}

func (x *Index) evictResult(k entryKey) {
	entry, ok := x.entries[k]
	if !ok || entry.ResultOnLog || len(entry.Result) == 0 {
		return
	}
	x.resultBytes -= len(entry.Result)
	entry.Result, entry.ResultOnLog = nil, true
	x.entries[k] = entry
}

// tooOld reports whether the key's time lies before the window that ends at the highest applied
// log time. Log time does not depend on any daemon's clock, so all readers skip the same late
// records: a claim that reaches the log after its key's window decides nothing, and an evicted
// key cannot be decided a second time.
func (x *Index) tooOld(key string) bool {
	at, err := ident.KeyTime(key)
	return err != nil || at.Before(x.latestLogTime.Add(-x.window-WindowSlack))
}

// evictExpired removes the expired entries, in whole minutes of their key's time.
func (x *Index) evictExpired() {
	horizon := x.latestLogTime.Add(-x.window-WindowSlack).Unix() / 60
	if horizon <= x.evictedBefore || x.latestLogTime.IsZero() {
		return
	}
	for minute, keys := range x.keysByMinute {
		if minute >= horizon {
			continue
		}
		for _, k := range keys {
			x.evictResult(k)
			delete(x.entries, k)
		}
		delete(x.keysByMinute, minute)
	}
	x.evictedBefore = horizon
	remaining := x.cachedResults[:0]
	for _, k := range x.cachedResults {
		if _, ok := x.entries[k]; ok {
			remaining = append(remaining, k)
		}
	}
	x.cachedResults = remaining
}

// View returns the current view of the account and key.
func (x *Index) View(account, key string) View {
	view := x.entries[entryKey{account, key}]
	switch {
	case x.tooOld(key):
		view = View{State: TooOld}
	case view.State == "":
		view = View{State: Undecided}
	}
	view.Generation, view.Next = x.generation, x.next
	return view
}
