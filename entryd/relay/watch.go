package relay

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"lentilstage.dev/decide/roster"
	"lentilstage.dev/domain/value"
)

type (
	// streamReader reads a stream, first the newest record of each key and then new records, and
	// applies each record.
	streamReader struct {
		daemon *Daemon
		stream Stream
		// wait is how long a read waits for a record, minInterval the shortest time between the
		// starts of two reads.
		wait        time.Duration
		minInterval time.Duration
		// apply applies records; onListing, if set, the keys of a full read.
		apply        func([]Record)
		onListing    func(end value.Position, keys []string)
		setReachable func(reachable bool)
		// forward, if set, sends the records between two positions to followers.
		forward func(from, next value.Position, records []Record)

		// newerKnown, if set, reports whether records newer than the last read are known to exist.
		newerKnown func() bool

		synced    bool
		reachable bool
		// listedEra is the era of the last full read.
		listedEra int64
		// relisted is set after a full read because of trimmed records, until new records were read.
		relisted bool
		// failures is the number of reads in a row that have failed.
		failures int
		// outdated is set if the last read shows too old a state for the next one to wait for a record.
		outdated bool
	}
)

const (
	// operatorsWait limits a read of the operators' stream. A dead connection must be noticed early
	// enough for a change to be in force in time.
	operatorsWait = 800 * time.Millisecond
	// endpointsWait and endpointsInterval apply to the endpoints' stream, whose records arrive
	// continuously. The interval limits the number of reads, which are billed, and the time until a
	// leaving endpoint is seen. Both together are the longest time between two reads, which must stay below
	// maxEndpointsAge.
	endpointsWait     = 400 * time.Millisecond
	endpointsInterval = 700 * time.Millisecond
	// readSlack is the time that a response may take beyond its wait.
	readSlack = 900 * time.Millisecond
	// idleInterval is the pause between checks of a daemon that others read for.
	idleInterval = 100 * time.Millisecond
	// ownReadInterval is the pause between the reads of a follower that its hub does not inform.
	ownReadInterval = time.Second
	// resumeAge is the age of a daemon's last read from which the next one returns at once: what others read has
	// become old, and the read shows them that the log can be read.
	resumeAge = 1200 * time.Millisecond
	// maxPromptAge is the age of the state that a read with records shows from which the next read returns at once, so
	// that others who rely on this daemon's reads need not read themselves.
	maxPromptAge = 200 * time.Millisecond
	// aloneTime is the age from which a process that can't read who the others are reads for itself.
	aloneTime = 600 * time.Millisecond
	// readRetryDelay follows a failed read of a hub, or of a daemon that has read nothing yet, and the first of several
	// failed reads of others: a single one may be that of a lost connection, and a change must still be in force in
	// time. After more they rely on their hub's next message and retry less often, since failed calls are billed too:
	// with 68 daemons an outage of 6 s cost 2,100 calls.
	readRetryDelay         = 300 * time.Millisecond
	followerReadRetryDelay = 1200 * time.Millisecond
	// fromLog is the source of records that this daemon has read itself.
	fromLog = "Log"
)

// errOldEra reports a response of the log from an era that has ended.
var errOldEra = eris.New("the log answered with an earlier era")

// watchOperators reads the operators' stream.
func (d *Daemon) watchOperators(ctx context.Context) error {
	s := &streamReader{
		daemon: d, stream: Operators, wait: operatorsWait,
		apply:        func(records []Record) { d.applyOperatorRecords(records, fromLog) },
		setReachable: func(reachable bool) { d.operatorsUnreachable.Store(!reachable) },
		onListing:    d.applyOperatorListing,
		forward:      d.gossip.sendOperators,
		newerKnown: func() bool {
			config := d.tables.currentConfig()
			return config != nil && d.freshness.missingRecords(config.Version, d.clock.now())
		},
	}
	return s.run(ctx)
}

// watchEndpoints reads the endpoints' registrations.
func (d *Daemon) watchEndpoints(ctx context.Context) error {
	s := &streamReader{
		daemon: d, stream: Endpoints, wait: endpointsWait, minInterval: endpointsInterval, apply: d.applyEndpointRecords,
		onListing: func(end value.Position, keys []string) {
			d.publishChanges(d.tables.applyListing(end, keys, d.clock.now()))
		},
		setReachable: d.setEndpointsReachable,
	}
	return s.run(ctx)
}

// setEndpointsReachable records whether the endpoints' stream can be read.
func (d *Daemon) setEndpointsReachable(reachable bool) {
	now := d.clock.now()
	if reachable {
		_, readAt := d.freshness.readTimes(Endpoints)
		d.tables.recordLogRead(readAt, readAt)
	}
	d.publishChanges(d.tables.setReachable(reachable, now))
}

func (s *streamReader) run(ctx context.Context) error {
	for ctx.Err() == nil {
		started := s.daemon.clock.now()
		wait := s.wait
		if !s.mustRead(started) {
			if s.newerKnown == nil || !s.newerKnown() {
				sleep(ctx, idleInterval)
				continue
			}
			wait = 0
		}
		if _, ownReadAt := s.daemon.freshness.readTimes(s.stream); s.outdated || started.Sub(ownReadAt) > resumeAge {
			wait = 0
		}
		err := s.readOnce(ctx, wait)
		if ctx.Err() != nil {
			break
		}
		s.reportState(err)
		if err != nil {
			sleep(ctx, time.Duration(float64(s.readRetryDelay())*(0.75+s.daemon.random()/2)))
			continue
		}
		if left := s.minInterval - s.daemon.clock.now().Sub(started); left > 0 {
			sleep(ctx, left)
		}
	}
	return nil
}

// mustRead reports whether this daemon must read the stream itself.
func (s *streamReader) mustRead(now time.Time) bool {
	d := s.daemon
	switch _, isHub := d.members.currentHub(now); {
	case !s.synced:
		return true
	case isHub && d.members.isReader(now):
		// While all daemons start, each is the first that it knows of until it has read who the others
		// are.
		return d.membersRead.Load() || d.age(now) > aloneTime
	case isHub:
		return !d.informed(s.stream, now)
	}
	_, ownReadAt := d.freshness.readTimes(s.stream)
	return !d.informed(s.stream, now) && now.Sub(ownReadAt) > ownReadInterval
}

// informed reports whether another daemon reads the stream for this one, recently enough to rely on.
func (d *Daemon) informed(stream Stream, now time.Time) bool {
	_, isHub := d.members.currentHub(now)
	return d.freshness.informed(stream, isHub, d.members.interval(), now)
}

// hubFresh reports whether another daemon has recently read the stream for this one.
func (d *Daemon) hubFresh(stream Stream, now time.Time) bool {
	_, isHub := d.members.currentHub(now)
	return d.freshness.hubFresh(stream, isHub, d.members.interval(), now)
}

// readRetryDelay returns the pause after a failed read.
func (s *streamReader) readRetryDelay() time.Duration {
	if _, isHub := s.daemon.members.currentHub(s.daemon.clock.now()); isHub || !s.synced || s.failures <= 1 {
		return readRetryDelay
	}
	return followerReadRetryDelay
}

// readOnce makes one read: of everything first and after a new era of the log has begun, otherwise of new
// records.
func (s *streamReader) readOnce(ctx context.Context, wait time.Duration) error {
	if !s.synced {
		return s.readAll(ctx)
	}
	call, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	from := s.daemon.freshness.next(s.stream)
	if from.Era != s.listedEra {
		// Others have read this era for the daemon. What its log has lost shows in a full read only.
		return s.readAll(ctx)
	}
	began := s.daemon.clock.boot()
	page, err := s.daemon.store.Read(call, s.stream, from.Offset, wait)
	if errors.Is(err, ErrTrimmed) {
		s.daemon.logger.WithName("store").Info("Records were trimmed; reading all again.", "Stream", s.stream, "From", from.Offset, "Era", from.Era)
		s.synced = false
		if s.relisted {
			// A full read has not helped. Without the pause after an error, the two reads would alternate
			// as fast as the log responds.
			s.relisted = false
			return err
		}
		s.relisted = true
		return s.readAll(ctx)
	}
	if err != nil {
		return err
	}
	s.relisted = false
	s.daemon.observeEra(page.End.Era, "")
	if page.End.Era != from.Era {
		// The records from this offset on may be others than those that followed in the era before.
		s.synced = false
		return s.readAll(ctx)
	}
	s.apply(page.Records)
	next := from
	for _, r := range page.Records {
		next = value.Furthest(next, value.Position{Era: r.Era, Offset: r.Offset + 1})
	}
	if s.forward != nil {
		s.forward(from, next, page.Records)
	}
	waited := wait
	if len(page.Records) > 0 {
		// The log has not waited for the whole time, and the records may be as old as the call.
		waited = 0
	}
	age := s.recordRead(next, began, waited)
	s.outdated = wait > waited && age > maxPromptAge
	return nil
}

// recordRead records a read that began at a time of the boot clock and waited for a record. Its answer shows the state
// of the log when the wait ended, which may be long before it arrived here, and no later one. It returns the age of
// that state.
func (s *streamReader) recordRead(next value.Position, began time.Time, waited time.Duration) time.Duration {
	age := max(s.daemon.clock.boot().Sub(began)-waited, 0)
	s.daemon.freshness.recordOwnRead(s.stream, next, s.daemon.clock.now().Add(-age))
	return age
}

// readAll reads the newest record of each key. It returns errOldEra if the log answers with an era before one
// that is known.
func (s *streamReader) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.wait+readSlack)
	defer cancel()
	began := s.daemon.clock.boot()
	page, err := s.daemon.store.Newest(ctx, s.stream)
	if err != nil {
		return err
	}
	s.daemon.observeEra(page.End.Era, "")
	known := s.daemon.freshness.next(s.stream)
	if page.End.Era < known.Era {
		return eris.Wrapf(errOldEra, "era %d, known %d", page.End.Era, known.Era)
	}
	keys := make([]string, 0, len(page.Records))
	s.apply(page.Records)
	for _, r := range page.Records {
		keys = append(keys, r.Key)
	}
	if s.onListing != nil {
		s.onListing(page.End, keys)
	}
	if s.forward != nil && page.End.Era > known.Era {
		s.forward(value.Position{Era: page.End.Era}, page.End, page.Records)
	}
	s.synced, s.listedEra = true, page.End.Era
	// The page may be older than earlier reads of its era; the position never goes back.
	s.recordRead(page.End, began, 0)
	s.outdated = false
	return nil
}

// observeEra records the era of the log, as the log or another daemon reports it.
func (d *Daemon) observeEra(era int64, from string) {
	known := d.era.Load()
	for ; era > known; known = d.era.Load() {
		if !d.era.CompareAndSwap(known, era) {
			continue
		}
		d.meters.setGauge("Store.Era", era)
		if known > 0 {
			// Records that the log had confirmed may be lost, and offsets are given out again.
			d.logRestored.Store(true)
			d.meters.count("Store.Restored")
			d.logger.WithName("store").Info("Log was restored from a copy.", "Era", era, "Before", known, "From", from)
		}
	}
}

// reportState reports whether the log is reachable and logs a change.
func (s *streamReader) reportState(err error) {
	reachable := err == nil
	failures := s.failures
	if reachable {
		s.failures = 0
	} else {
		s.failures++
		s.daemon.meters.count("Store.ReadsFailed")
	}
	if s.setReachable != nil {
		s.setReachable(reachable)
	}
	if reachable == s.reachable {
		return
	}
	s.reachable = reachable
	next := s.daemon.freshness.next(s.stream)
	if reachable {
		now := s.daemon.clock.now()
		s.daemon.logger.WithName("store").Info("Reachable.", "Stream", s.stream, "Next", next.Offset, "Era", next.Era,
			"Failures", failures, "ReadableMilliseconds", ageMS(s.daemon.tables.logReadableSince(now), now))
		return
	}
	s.daemon.meters.count("Store.Lost")
	s.daemon.logger.WithName("store").Info("Unreachable.", "Stream", s.stream, "Next", next.Offset, "Era", next.Era, "Error", err.Error())
}

// applyOperatorRecords applies operators' records that came from fromLog or from the named daemon. Evacuations come
// first: with its first configuration a daemon may begin to serve.
func (d *Daemon) applyOperatorRecords(records []Record, from string) {
	var others []Record
	for _, r := range records {
		if !d.applyEvacuationRecord(r) {
			others = append(others, r)
		}
	}
	for _, r := range others {
		d.applyOperatorRecord(r, from)
	}
}

// applyOperatorRecord applies an operators' record that concerns no evacuation.
func (d *Daemon) applyOperatorRecord(r Record, from string) {
	if r.Value == nil {
		return
	}
	config, err := d.codec.Config(r)
	if errors.Is(err, ErrOtherRecordKind) {
		d.applyRolloutRecord(r)
		return
	}
	if err != nil {
		d.logger.WithName("config").Info("Record invalid.", "Key", r.Key, "Offset", r.Offset, "Error", err.Error())
		return
	}
	if d.tables.applyConfig(config, r, d.clock.now()) {
		d.meters.setGauge("Config.Version", config.Version)
		d.logger.WithName("config").Info("Configuration applied.", "Version", config.Version, "Offset", r.Offset, "From", from,
			"Routes", len(config.Routes), "Accounts", len(config.Accounts))
	}
}

// applyEndpointRecords applies endpoints' records and publishes the changes together.
func (d *Daemon) applyEndpointRecords(records []Record) {
	var changes []roster.Change
	for _, r := range records {
		changes = append(changes, d.applyEndpointRecord(r)...)
	}
	d.publishChanges(changes)
}

// applyEndpointRecord applies an endpoint's record and returns the changes.
func (d *Daemon) applyEndpointRecord(r Record) []roster.Change {
	now := d.clock.now()
	if r.Value == nil {
		return d.tables.deleteEndpoint(r, now)
	}
	endpoint, err := d.codec.Endpoint(r, now)
	if err != nil {
		d.logger.WithName("endpoints").Info("Record invalid.", "Key", r.Key, "Offset", r.Offset, "Error", err.Error())
		return d.tables.deleteEndpoint(r, now)
	}
	return d.tables.putEndpoint(r, endpoint, now)
}
