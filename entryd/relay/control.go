package relay

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// snapshot holds the newest records that a daemon knows, for daemons that can't read the log.
type snapshot struct {
	Operators []Record `json:"Operators"`
	Endpoints []Record `json:"Endpoints"`
	// End is the offset after the last endpoint record that the sender knows. An endpoint with an
	// older record that is missing from Endpoints is gone.
	End int64 `json:"End"`
}

const (
	snapshotPath     = "/v1/snapshot"
	snapshotTimeout  = 700 * time.Millisecond
	maxSnapshotBytes = 16 << 20
	// syncInterval is the pause between checks for a daemon with newer records.
	syncInterval = 500 * time.Millisecond
)

// serveControl sends other daemons a snapshot of the records that this one knows.
func (d *Daemon) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != snapshotPath {
		http.NotFound(w, r)
		return
	}
	if !d.tables.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(d.snapshot()); err != nil {
		d.logger.WithName("control").Info("Snapshot not sent.", "Error", err.Error())
	}
}

// snapshot returns the records that this daemon knows. End is the offset up to which endpoint records
// were read, since the records of endpoints that are gone are left out.
func (d *Daemon) snapshot() snapshot {
	end := d.freshness.nextOffset(Endpoints, 0)
	s := d.tables.snapshot()
	s.End = end
	return s
}

// snapshot returns the records without End.
func (t *tables) snapshot() snapshot {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var s snapshot
	for _, r := range t.records[Operators] {
		s.Operators = append(s.Operators, r)
	}
	for _, r := range t.records[Endpoints] {
		s.Endpoints = append(s.Endpoints, r)
	}
	return s
}

// syncFromPeers fetches from other daemons what the log does not deliver: everything if this daemon
// is not ready, all endpoints if they differ from the hub's, or a newer configuration while the log
// can't be read.
func (d *Daemon) syncFromPeers(ctx context.Context) error {
	return every(ctx, syncInterval, func() {
		if !d.tables.ready() {
			d.applySnapshotFrom(ctx, append(d.members.controlAddresses(0), d.settings.Seeds...))
			return
		}
		if hub, isHub := d.members.currentHub(d.clock.now()); !isHub && d.freshness.rosterDiverged(d.clock.now()) {
			d.applySnapshotFrom(ctx, []string{hub.Control})
		}
		if config := d.tables.currentConfig(); config != nil && d.operatorsUnreachable.Load() {
			d.applySnapshotFrom(ctx, d.members.controlAddresses(config.Version))
		}
	})
}

// applySnapshotFrom applies the first snapshot that one of the addresses returns.
func (d *Daemon) applySnapshotFrom(ctx context.Context, addresses []string) {
	for _, address := range addresses {
		if address == "" || address == d.settings.ControlListen || ctx.Err() != nil {
			continue
		}
		s, err := fetchSnapshot(ctx, address)
		if err != nil {
			d.logger.WithName("control").V(1).Info("Snapshot not received.", "From", address, "Error", err.Error())
			continue
		}
		for _, r := range s.Operators {
			d.applyOperatorRecord(r)
		}
		keys := make([]string, 0, len(s.Endpoints))
		for _, r := range s.Endpoints {
			d.applyEndpointRecord(r)
			keys = append(keys, r.Key)
		}
		d.publishChanges(d.tables.applyListing(s.End, keys, d.clock.now()))
		d.logger.WithName("control").Info("Snapshot applied.", "From", address, "Records", len(s.Operators)+len(s.Endpoints))
		return
	}
}

func fetchSnapshot(ctx context.Context, address string) (snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	var s snapshot
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+snapshotPath, nil)
	if err != nil {
		return s, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return s, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return s, eris.Errorf("status %d", response.StatusCode)
	}
	return s, json.NewDecoder(io.LimitReader(response.Body, maxSnapshotBytes)).Decode(&s)
}
