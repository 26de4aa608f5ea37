package relay

import (
	"compress/gzip"
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"lentilstage.dev/decide/hubs"
	"lentilstage.dev/domain/value"
	"lentilstage.dev/wire/answer"
)

type (
	// snapshot holds the newest records that a daemon knows, for daemons that can't read the log or
	// have missed some.
	snapshot struct {
		Operators []Record `json:"Operators"`
		Endpoints []Record `json:"Endpoints"`
		// End is the offset after the last endpoint record that the sender knows, in the era Era of the
		// log. An endpoint with an older record that is missing from Endpoints is gone.
		End int64 `json:"End"`
		Era int64 `json:"Era,omitempty"`
		// Buckets are the buckets of endpoints that the snapshot covers; null means all.
		Buckets []int `json:"Buckets"`
		// Members are the daemons that the sender knows.
		Members []hubs.Member `json:"Members"`
	}

	// rosterHashes are the hashes of the endpoints that a daemon knows, by bucket.
	rosterHashes [hashBuckets]uint64
)

const (
	// hashBuckets is the number of parts of the endpoints that are compared with another daemon's, so
	// that a daemon that has missed a change fetches a part of the records.
	hashBuckets = 64
	// rosterQuery is the query parameter with the requester's hashes.
	rosterQuery      = "roster"
	snapshotPath     = "/v1/snapshot"
	snapshotTimeout  = 700 * time.Millisecond
	maxSnapshotBytes = 16 << 20
	// maxSnapshots limits the snapshots that are sent at the same time. One of 3,000 endpoints takes some
	// MB until its receiver has read it; a hub whose 60 followers asked at once exceeded 500 MB.
	maxSnapshots = 4
	// snapshotWriteTimeout limits the time in which a receiver reads a snapshot. It has given up by then.
	snapshotWriteTimeout = 2 * snapshotTimeout
	// syncInterval is the pause between checks for a daemon with newer records.
	syncInterval = 500 * time.Millisecond
	// snapshotIdleTime is how long a connection to another daemon is kept for the next snapshot.
	snapshotIdleTime = 30 * time.Second
)

// snapshotClient reads the snapshots of other daemons.
var snapshotClient = &http.Client{Transport: answer.Wrap(&http.Transport{IdleConnTimeout: snapshotIdleTime})}

// serveControl sends other daemons a snapshot of the records that this one knows, and serves requests that they hand
// over.
func (d *Daemon) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(handOverHeader) != "" && strings.HasPrefix(r.RequestURI, handOverPath) {
		d.serveHandOver(w, r)
		return
	}
	// The deadline stays with the connection, so each request sets its own. A server without deadlines, as
	// in a test, leaves the receiver's own timeout.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(snapshotWriteTimeout))
	if r.Method != http.MethodGet || r.URL.Path != snapshotPath {
		http.NotFound(w, r)
		return
	}
	if !d.tables.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case d.snapshots <- struct{}{}:
		defer func() { <-d.snapshots }()
	default:
		// The receiver asks another daemon, or this one again.
		d.meters.count("Snapshots.Refused")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s := d.snapshot()
	if text := r.URL.Query().Get(rosterQuery); text != "" {
		hashes, err := parseHashes(text)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s = s.differing(hashes, d.tables.hashes(d.clock.now()))
	}
	w.Header().Set("Content-Type", "application/json")
	if err := writeSnapshot(w, r, s); err != nil {
		d.logger.WithName("control").Info("Snapshot not sent.", "Error", err.Error())
		return
	}
	d.meters.count("Snapshots.Sent")
}

// writeSnapshot sends a snapshot, compressed if the receiver accepts that: registrations are alike, and all
// followers of a hub may ask for them at once.
func writeSnapshot(w http.ResponseWriter, r *http.Request, s snapshot) error {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		return json.NewEncoder(w).Encode(s)
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressor, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err != nil {
		return err
	}
	return errors.Join(json.NewEncoder(compressor).Encode(s), compressor.Close())
}

// snapshot returns the records that this daemon knows. End is the offset up to which endpoint records
// were read, since the records of endpoints that are gone are left out.
func (d *Daemon) snapshot() snapshot {
	end := d.freshness.next(Endpoints)
	s := d.tables.snapshot()
	s.Era, s.End = end.Era, end.Offset
	for _, r := range d.members.all() {
		s.Members = append(s.Members, r.Member)
	}
	return s
}

// differing returns the part of the snapshot that covers the buckets in which two daemons differ.
func (s snapshot) differing(theirs, own rosterHashes) snapshot {
	s.Buckets = []int{}
	for bucket, hash := range own {
		if theirs[bucket] != hash {
			s.Buckets = append(s.Buckets, bucket)
		}
	}
	s.Endpoints = slices.DeleteFunc(s.Endpoints, func(r Record) bool { return !s.covers(r.Key) })
	s.Members = nil
	return s
}

// covers reports whether the snapshot has the record of an endpoint that the sender knows.
func (s snapshot) covers(id string) bool {
	return s.Buckets == nil || slices.Contains(s.Buckets, bucketOf(id))
}

// bucketOf returns the bucket of an endpoint.
func bucketOf(id string) int { return int(shortID(id) % hashBuckets) }

// encode returns the hashes as text.
func (h rosterHashes) encode() string {
	data := make([]byte, 0, hashBuckets*8)
	for _, hash := range h {
		data = binary.BigEndian.AppendUint64(data, hash)
	}
	return base64.RawURLEncoding.EncodeToString(data)
}

func parseHashes(text string) (rosterHashes, error) {
	var h rosterHashes
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(data) != hashBuckets*8 {
		return h, eris.Errorf("%s does not hold %d hashes", rosterQuery, hashBuckets)
	}
	for i := range h {
		h[i] = binary.BigEndian.Uint64(data[i*8:])
	}
	return h, nil
}

// hashes returns the hashes of the endpoints by bucket.
func (t *tables) hashes(now time.Time) rosterHashes {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refresh(now)
	return t.endpointHashes
}

// endpointsOutside returns the identifiers of the known endpoints that a snapshot does not cover.
func (t *tables) endpointsOutside(s snapshot) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var ids []string
	for id := range t.records[Endpoints] {
		if !s.covers(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// snapshot returns the records without End. It leaves out endpoints that the log no longer has: this daemon keeps
// them for a grace period after an outage, which may have been its own alone.
func (t *tables) snapshot() snapshot {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var s snapshot
	for _, r := range t.records[Operators] {
		s.Operators = append(s.Operators, r)
	}
	s.Operators = append(s.Operators, t.newestEvacuations()...)
	for id, r := range t.records[Endpoints] {
		if !t.roster.Missing(id) {
			s.Endpoints = append(s.Endpoints, r)
		}
	}
	return s
}

// syncFromPeers fetches from other daemons what the log does not deliver: everything if this daemon
// is not ready, the endpoints that differ from those of the daemon that informs this one, or a newer
// configuration while the log can't be read or has lost it.
func (d *Daemon) syncFromPeers(ctx context.Context) error {
	return every(ctx, syncInterval, func() {
		if !d.tables.ready() {
			// In random order, so that not all new processes ask the same daemon.
			addresses := d.members.controlAddresses(0)
			rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
			d.applySnapshotFrom(ctx, append(addresses, d.settings.Seeds...), "")
			return
		}
		now := d.clock.now()
		if d.freshness.rosterDiverged(now) {
			if source, ok := d.source(now); ok {
				d.applySnapshotFrom(ctx, []string{source.Control}, "?"+rosterQuery+"="+d.tables.hashes(now).encode())
			}
		}
		if config := d.tables.currentConfig(); config != nil && (d.operatorsUnreachable.Load() || d.freshness.lacksVersion(config.Version)) {
			d.applySnapshotFrom(ctx, d.members.controlAddresses(config.Version), "")
		}
	})
}

// source returns the daemon that informs this one: its hub, or the reader if it is a hub itself.
func (d *Daemon) source(now time.Time) (hubs.Report, bool) {
	hub, isHub := d.members.currentHub(now)
	if !isHub {
		return hub, true
	}
	reader, ok := d.members.reader(now)
	return reader, ok && reader.Name != d.settings.Name
}

// applySnapshotFrom applies the first snapshot that one of the addresses returns.
func (d *Daemon) applySnapshotFrom(ctx context.Context, addresses []string, query string) {
	for _, address := range addresses {
		if address == "" || address == d.settings.ControlListen || ctx.Err() != nil {
			continue
		}
		s, err := fetchSnapshot(ctx, address, query)
		if err != nil {
			d.logger.WithName("control").V(1).Info("Snapshot not received.", "From", address, "Error", err.Error())
			continue
		}
		d.applyOperatorRecords(s.Operators, address)
		d.tables.markOperatorsListed()
		d.listMembers(s.Members)
		keys := d.tables.endpointsOutside(s)
		d.applyEndpointRecords(s.Endpoints)
		for _, r := range s.Endpoints {
			keys = append(keys, r.Key)
		}
		d.publishChanges(d.tables.applyListing(value.Position{Era: s.Era, Offset: s.End}, keys, d.clock.now()))
		d.logger.WithName("control").Info("Snapshot applied.", "From", address, "Records", len(s.Operators)+len(s.Endpoints))
		return
	}
}

func fetchSnapshot(ctx context.Context, address, query string) (snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	var s snapshot
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+snapshotPath+query, nil)
	if err != nil {
		return s, err
	}
	response, err := snapshotClient.Do(request)
	if err != nil {
		// The idle connections may have gone silent together with this one.
		snapshotClient.CloseIdleConnections()
		return s, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return s, eris.Errorf("status %d", response.StatusCode)
	}
	return s, json.NewDecoder(io.LimitReader(response.Body, maxSnapshotBytes)).Decode(&s)
}
