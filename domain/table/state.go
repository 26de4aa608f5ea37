package table

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// RecordKind is the type of a record on the Control stream.
	RecordKind string

	// Record is a record of the Control stream. Exactly one part is set, the one for its Kind.
	Record struct {
		Kind RecordKind `json:"Kind"`
		// ID is unique to the record. Duplicate appends of a record share it.
		ID         string      `json:"Id"`
		Time       time.Time   `json:"Time"`
		Writer     string      `json:"Writer"`
		Change     *Change     `json:"Change,omitempty"`
		Step       *MoveStep   `json:"Step,omitempty"`
		Quarantine *Quarantine `json:"Quarantine,omitempty"`
		Snapshot   *Snapshot   `json:"Snapshot,omitempty"`
	}

	// Edit sets or deletes a row.
	Edit struct {
		Row RowKey `json:"Row"`
		// Base is the revision of the row that the edit is based on; 0 for a new row.
		Base    int64    `json:"Base"`
		Delete  bool     `json:"Delete,omitempty"`
		Account *Account `json:"Account,omitempty"`
		Version *Version `json:"Version,omitempty"`
		Route   *Route   `json:"Route,omitempty"`
		// DataCentre is the row of a data centre.
		DataCentre *DataCentre `json:"DataCentre,omitempty"`
	}

	// Change is a set of edits that is applied atomically.
	Change struct {
		Operator string `json:"Operator"`
		Edits    []Edit `json:"Edits"`
	}

	// StepState is the state of a version move.
	StepState string

	// MoveStep records a step of a version move. If several records have the same FromStep,
	// the first one in the log is applied.
	MoveStep struct {
		Move     string    `json:"Move"`
		Route    string    `json:"Route"`
		Version  string    `json:"Version"`
		FromStep int       `json:"FromStep"`
		State    StepState `json:"State"`
		Share    float64   `json:"Share"`
		// NotAfter is the time after which only TakenBack may be recorded.
		NotAfter time.Time `json:"NotAfter"`
		Reason   string    `json:"Reason"`
	}

	// MoveState is the state of a version move after folding its steps.
	MoveState struct {
		Move    string    `json:"Move"`
		Route   string    `json:"Route"`
		Version string    `json:"Version"`
		Step    int       `json:"Step"`
		State   StepState `json:"State"`
		Share   float64   `json:"Share"`
		Offset  int64     `json:"Offset"`
		Reason  string    `json:"Reason"`
		// StepTime is the time in the record of the last step.
		StepTime time.Time `json:"StepTime"`
	}

	// Quarantine records a request that crashed several endpoints and is rejected until Deadline.
	Quarantine struct {
		Fingerprint string    `json:"Fingerprint"`
		Account     string    `json:"Account"`
		Crashes     int       `json:"Crashes"`
		Deadline    time.Time `json:"Deadline"`
	}

	// Snapshot is a checkpoint of the folded state, so that older records may expire.
	Snapshot struct {
		State State `json:"State"`
	}

	// Clash describes a conflict: another change set the row after the revision that the losing
	// edit is based on.
	Clash struct {
		Row RowKey `json:"Row"`
		// Base is the revision that the losing edit is based on.
		Base int64 `json:"Base"`
		// Revision is the row's current revision; 0 if the row was deleted.
		Revision int64 `json:"Revision"`
		// Present is the current row and Wanted the row of the losing edit, as JSON; null means
		// no row.
		Present json.RawMessage `json:"Present"`
		Wanted  json.RawMessage `json:"Wanted"`
	}

	// Outcome is the result of folding a record.
	Outcome struct {
		ID       string     `json:"Id"`
		Kind     RecordKind `json:"Kind"`
		Offset   int64      `json:"Offset"`
		Applied  bool       `json:"Applied"`
		Writer   string     `json:"Writer"`
		Time     time.Time  `json:"Time"`
		Clashes  []Clash    `json:"Clashes,omitempty"`
		Problems Problems   `json:"Problems,omitempty"`
		Reason   string     `json:"Reason,omitempty"`
	}

	// State is the result of folding the Control stream up to an offset. It is immutable.
	State struct {
		// Next is the offset after the last folded record.
		Next        int64                 `json:"Next"`
		Accounts    map[string]Account    `json:"Accounts"`
		Versions    map[string]Version    `json:"Versions"`
		Routes      map[string]Route      `json:"Routes"`
		DataCentres map[string]DataCentre `json:"DataCentres,omitempty"`
		Moves       map[string]MoveState  `json:"Moves"`
		Quarantined map[string]Quarantine `json:"Quarantined"`
		Outcomes    []Outcome             `json:"Outcomes"`
	}
)

const (
	// ChangeRecord, StepRecord, QuarantineRecord and SnapshotRecord are the record kinds.
	ChangeRecord     RecordKind = "Change"
	StepRecord       RecordKind = "Step"
	QuarantineRecord RecordKind = "Quarantine"
	SnapshotRecord   RecordKind = "Snapshot"

	// Moving, Finished and TakenBack are the states of a version move. TakenBack means that the
	// move was rolled back.
	Moving    StepState = "Moving"
	Finished  StepState = "Finished"
	TakenBack StepState = "TakenBack"

	// maxOutcomes is the number of recent outcomes that operators can read back.
	maxOutcomes = 200
	// maxQuarantined is the maximum number of quarantined fingerprints. The entry with the
	// earliest deadline is evicted first.
	maxQuarantined = 1000
)

// ErrRecord reports a record that can't be decoded or lacks the part for its kind.
var ErrRecord = eris.New("invalid control record")

// DecodeRecord decodes and validates a record. It returns ErrRecord if the record is invalid.
func DecodeRecord(data []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(data, &record); err != nil {
		return Record{}, eris.Wrap(ErrRecord, err.Error())
	}
	if err := record.Check(); err != nil {
		return Record{}, err
	}
	return record, nil
}

// Check returns ErrRecord if the record lacks an ID or the part for its kind.
func (r Record) Check() error {
	present := map[RecordKind]bool{
		ChangeRecord:     r.Change != nil,
		StepRecord:       r.Step != nil,
		QuarantineRecord: r.Quarantine != nil,
		SnapshotRecord:   r.Snapshot != nil,
	}
	if r.ID == "" || !present[r.Kind] {
		return eris.Wrapf(ErrRecord, "kind %q", r.Kind)
	}
	return nil
}

// NewState returns the state before the first record.
func NewState() State {
	return State{
		Accounts:    map[string]Account{},
		Versions:    map[string]Version{},
		Routes:      map[string]Route{},
		DataCentres: map[string]DataCentre{},
		Moves:       map[string]MoveState{},
		Quarantined: map[string]Quarantine{},
	}
}

// Table returns the rows in the order of their names, together with the base rows that a file
// needs for Edits.
func (s State) Table() Table {
	t := s.rows()
	t.Base = make(map[string]BaseRow, len(t.Accounts)+len(t.Versions)+len(t.Routes)+len(t.DataCentres))
	for _, sheet := range sheets {
		for _, row := range t.rowsOf(sheet) {
			t.Base[row.Key().String()] = BaseRow{Revision: row.Base(), Hash: rowHash(row)}
		}
	}
	return t
}

// rows returns the rows in the order of their names, without base rows.
func (s State) rows() Table {
	return Table{
		Accounts:    sortedRows(s.Accounts),
		Versions:    sortedRows(s.Versions),
		Routes:      sortedRows(s.Routes),
		DataCentres: sortedRows(s.DataCentres),
	}
}

// Fold applies the record at the offset and returns the new state and the record's outcome.
// It applies only the record at the state's next offset: an earlier record is already folded,
// and a later one would leave a gap. Only a snapshot whose state ends at the snapshot's own
// offset is applied across a gap.
func (s State) Fold(offset int64, record Record) (State, Outcome) {
	outcome := Outcome{ID: record.ID, Kind: record.Kind, Offset: offset, Writer: record.Writer, Time: record.Time}
	if offset < s.Next {
		outcome.Reason = "the record is older than the state"
		return s, outcome
	}
	bridgesGap := record.Kind == SnapshotRecord && record.Snapshot.State.Next == offset
	if offset > s.Next && !bridgesGap {
		outcome.Reason = "records before it are missing"
		return s, outcome
	}
	next := s
	switch record.Kind {
	case ChangeRecord:
		next, outcome = s.foldChange(outcome, *record.Change)
	case StepRecord:
		next, outcome = s.foldStep(outcome, record.Time, *record.Step)
	case QuarantineRecord:
		next, outcome = s.foldQuarantine(outcome, record.Time, *record.Quarantine)
	case SnapshotRecord:
		next, outcome = s.foldSnapshot(outcome, record.Snapshot.State)
	}
	next.Next = offset + 1
	if _, isDuplicate := s.OutcomeOf(record.ID); !isDuplicate && (record.Kind == ChangeRecord || record.Kind == StepRecord) {
		next.Outcomes = appendBounded(next.Outcomes, outcome, maxOutcomes)
	}
	return next, outcome
}

// Skip returns the state after an undecodable record at the offset.
func (s State) Skip(offset int64) State {
	s.Next = max(s.Next, offset+1)
	return s
}

// OutcomeOf returns the outcome of the first record with the identifier, if it is still kept.
// No outcomes are kept for duplicates of a record.
func (s State) OutcomeOf(id string) (Outcome, bool) {
	for _, o := range slices.Backward(s.Outcomes) {
		if o.ID == id {
			return o, true
		}
	}
	return Outcome{}, false
}

// MoveOf returns the state of the move that the route's row requests.
func (s State) MoveOf(route Route) (MoveState, bool) {
	if route.MoveTo == "" {
		return MoveState{}, false
	}
	if move, ok := s.Moves[route.MoveID()]; ok {
		return move, true
	}
	return MoveState{Move: route.MoveID(), Route: route.Name, Version: route.MoveTo, State: Moving}, true
}

// Split returns the split of the route's traffic by version at the given time. A move that has
// not finished by its deadline counts as rolled back.
func (s State) Split(route Route, now time.Time) []WeightedVersion {
	share := 0.0
	if move, ok := s.MoveOf(route); ok {
		switch {
		case move.State == Finished:
			share = 1
		case move.State == Moving && now.Before(route.MoveDeadline):
			share = move.Share
		}
	}
	return route.SplitAt(share)
}

// Evacuated reports whether no request may be sent to the endpoints of a data centre.
func (s State) Evacuated(dataCentre string) bool { return s.DataCentres[dataCentre].Evacuated }

// EvacuatedCentres returns the evacuated data centres, sorted by name.
func (s State) EvacuatedCentres() []string {
	var names []string
	for _, name := range sortedKeys(s.DataCentres) {
		if s.Evacuated(name) {
			names = append(names, name)
		}
	}
	return names
}

// AccountByKey returns the account that has a key with the given hash.
func (s State) AccountByKey(hash string) (Account, bool) {
	for _, a := range s.Accounts {
		if slices.Contains(a.KeyHashes, hash) {
			return a, true
		}
	}
	return Account{}, false
}

func (s State) foldChange(outcome Outcome, change Change) (State, Outcome) {
	if _, isDuplicate := s.OutcomeOf(outcome.ID); isDuplicate {
		outcome.Reason = "a copy of an earlier change"
		return s, outcome
	}
	for _, edit := range change.Edits {
		if current, revision := s.row(edit.Row); revision != edit.Base {
			outcome.Clashes = append(outcome.Clashes, Clash{
				Row: edit.Row, Base: edit.Base, Revision: revision,
				Present: mustJSON(current), Wanted: mustJSON(edit.desired()),
			})
		}
	}
	if len(outcome.Clashes) > 0 {
		outcome.Reason = "another change of the same rows came first"
		return s, outcome
	}
	next := s.withEdits(change.Edits, outcome.Offset+1)
	if problems := next.rows().Check(); len(problems) > 0 {
		outcome.Problems = problems
		outcome.Reason = "the table would be invalid"
		return s, outcome
	}
	outcome.Applied = true
	return next.withoutStaleMoves(), outcome
}

func (s State) foldStep(outcome Outcome, at time.Time, step MoveStep) (State, Outcome) {
	route, ok := s.Routes[step.Route]
	if !ok || route.MoveID() != step.Move {
		outcome.Reason = "no such move"
		return s, outcome
	}
	move, _ := s.MoveOf(route)
	switch {
	case move.State != Moving:
		outcome.Reason = "the move is already " + string(move.State)
		return s, outcome
	case move.Step != step.FromStep:
		outcome.Reason = "another step came first"
		return s, outcome
	case step.State != TakenBack && at.After(route.MoveDeadline):
		outcome.Reason = "the deadline has passed"
		return s, outcome
	}
	moves := maps.Clone(s.Moves)
	moves[step.Move] = MoveState{
		Move: step.Move, Route: step.Route, Version: step.Version,
		Step: step.FromStep + 1, State: step.State, Share: step.Share,
		Offset: outcome.Offset, Reason: step.Reason, StepTime: at,
	}
	s.Moves = moves
	outcome.Applied = true
	outcome.Reason = step.Reason
	return s, outcome
}

func (s State) foldQuarantine(outcome Outcome, at time.Time, entry Quarantine) (State, Outcome) {
	entries := make(map[string]Quarantine, len(s.Quarantined)+1)
	for fingerprint, q := range s.Quarantined {
		if q.Deadline.After(at) {
			entries[fingerprint] = q
		}
	}
	entries[entry.Fingerprint] = entry
	for len(entries) > maxQuarantined {
		earliest := slices.MinFunc(slices.Collect(maps.Values(entries)), func(a, b Quarantine) int {
			return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.Fingerprint, b.Fingerprint))
		})
		delete(entries, earliest.Fingerprint)
	}
	s.Quarantined = entries
	outcome.Applied = true
	return s, outcome
}

// foldSnapshot restores the snapshot's state if there is a gap before the snapshot. A state that
// has folded all records up to the snapshot's offset already has the same content.
func (s State) foldSnapshot(outcome Outcome, snapshot State) (State, Outcome) {
	if s.Next == outcome.Offset {
		outcome.Reason = "the state is already past the snapshot"
		return s, outcome
	}
	outcome.Applied = true
	return snapshot.Normalized(), outcome
}

// Normalized returns the state with each nil map replaced by an empty one. States decoded from
// a snapshot may have nil maps.
func (s State) Normalized() State {
	empty := NewState()
	s.Accounts = orDefault(s.Accounts, empty.Accounts)
	s.Versions = orDefault(s.Versions, empty.Versions)
	s.Routes = orDefault(s.Routes, empty.Routes)
	s.DataCentres = orDefault(s.DataCentres, empty.DataCentres)
	s.Moves = orDefault(s.Moves, empty.Moves)
	s.Quarantined = orDefault(s.Quarantined, empty.Quarantined)
	return s
}

// row returns the row and its revision, or nil and 0 if there is none.
func (s State) row(key RowKey) (Row, int64) {
	switch key.Sheet {
	case Accounts:
		if a, ok := s.Accounts[key.Name]; ok {
			return a, a.Revision
		}
	case Versions:
		if v, ok := s.Versions[key.Name]; ok {
			return v, v.Revision
		}
	case Routes:
		if r, ok := s.Routes[key.Name]; ok {
			return r, r.Revision
		}
	case DataCentres:
		if d, ok := s.DataCentres[key.Name]; ok {
			return d, d.Revision
		}
	}
	return nil, 0
}

func (s State) withEdits(edits []Edit, revision int64) State {
	s.Accounts = maps.Clone(s.Accounts)
	s.Versions = maps.Clone(s.Versions)
	s.Routes = maps.Clone(s.Routes)
	s.DataCentres = maps.Clone(orDefault(s.DataCentres, map[string]DataCentre{}))
	for _, edit := range edits {
		switch {
		case edit.Delete && edit.Row.Sheet == Accounts:
			delete(s.Accounts, edit.Row.Name)
		case edit.Delete && edit.Row.Sheet == Versions:
			delete(s.Versions, edit.Row.Name)
		case edit.Delete && edit.Row.Sheet == Routes:
			delete(s.Routes, edit.Row.Name)
		case edit.Delete && edit.Row.Sheet == DataCentres:
			delete(s.DataCentres, edit.Row.Name)
		case edit.Account != nil:
			row := *edit.Account
			row.Revision = revision
			s.Accounts[row.Name] = row
		case edit.Version != nil:
			row := *edit.Version
			row.Revision = revision
			s.Versions[row.Name] = row
		case edit.Route != nil:
			row := *edit.Route
			row.Revision = revision
			s.Routes[row.Name] = row
		case edit.DataCentre != nil:
			row := *edit.DataCentre
			row.Revision = revision
			s.DataCentres[row.Name] = row
		}
	}
	return s
}

// withoutStaleMoves returns the state without the moves that no row requests any more.
func (s State) withoutStaleMoves() State {
	moves := make(map[string]MoveState, len(s.Moves))
	for _, route := range s.Routes {
		if move, ok := s.Moves[route.MoveID()]; ok {
			moves[move.Move] = move
		}
	}
	s.Moves = moves
	return s
}

// desired returns the row that the edit sets, or nil for a deletion.
func (e Edit) desired() Row {
	switch {
	case e.Delete:
		return nil
	case e.Account != nil:
		return *e.Account
	case e.Version != nil:
		return *e.Version
	case e.Route != nil:
		return *e.Route
	case e.DataCentre != nil:
		return *e.DataCentre
	}
	return nil
}

// Check returns an error unless the edit sets or deletes exactly the row with its key.
func (e Edit) Check() error {
	actions := 0
	for _, present := range []bool{e.Delete, e.Account != nil, e.Version != nil, e.Route != nil, e.DataCentre != nil} {
		if present {
			actions++
		}
	}
	if actions != 1 {
		return eris.Errorf("edit of %s sets %d rows; it must set or delete one", e.Row, actions)
	}
	if row := e.desired(); row != nil && row.Key() != e.Row {
		return eris.Errorf("edit of %s sets %s", e.Row, row.Key())
	}
	return nil
}

// mustJSON encodes a row. It panics on an error, which can't occur for the field types of rows.
func mustJSON(row Row) json.RawMessage {
	data, err := json.Marshal(row)
	if err != nil {
		panic(eris.Wrap(err, "encode row"))
	}
	return data
}

func moveID(route string, revision int64) string {
	return route + "@" + strconv.FormatInt(revision, 10)
}

func sortedRows[R Row](rows map[string]R) []R {
	return slices.SortedFunc(maps.Values(rows), func(a, b R) int {
		return cmp.Compare(a.Key().Name, b.Key().Name)
	})
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func appendBounded[T any](items []T, item T, limit int) []T {
	start := max(0, len(items)+1-limit)
	next := make([]T, 0, len(items)-start+1)
	next = append(next, items[start:]...)
	return append(next, item)
}

func orDefault[K comparable, V any](m, fallback map[K]V) map[K]V {
	if m == nil {
		return fallback
	}
	return m
}
