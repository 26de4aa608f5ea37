package relay

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// snapshot is what a daemon gives to one that can't reach the log: the newest records that
// it knows.
type snapshot struct {
	Operators []Record `json:"Operators"`
	Endpoints []Record `json:"Endpoints"`
	// End is the offset after the last of the endpoints' records that the giver knows of: an endpoint
	// with an older record that is not among Endpoints is gone.
	End int64 `json:"End"`
}

const (
	snapshotPath    = "/v1/snapshot"
	snapshotTimeout = 700 * time.Millisecond
	maxSnapshot     = 16 << 20
	// catchUpInterval is the pause between looks for a daemon that knows more.
	catchUpInterval = 500 * time.Millisecond
)

// serveControl gives other daemons the records that this one knows.
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
		d.logger.WithName("control").Info("Reader left.", "Error", err.Error())
	}
}

// snapshot returns the records that this daemon knows. The records of endpoints that are gone are not
// among them, so that their end is that of what was read.
func (d *Daemon) snapshot() snapshot {
	end := d.feed.next(Endpoints, 0)
	s := d.tables.snapshot()
	s.End = end
	return s
}

// snapshot returns the records but for their end.
func (t *tables) snapshot() snapshot {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var s snapshot
	for _, r := range t.raw[Operators] {
		s.Operators = append(s.Operators, r)
	}
	for _, r := range t.raw[Endpoints] {
		s.Endpoints = append(s.Endpoints, r)
	}
	return s
}

// catchUp asks other daemons for what the log does not give at present: everything if this
// daemon has not started to serve, or a newer configuration.
func (d *Daemon) catchUp(ctx context.Context) error {
	return every(ctx, catchUpInterval, func() {
		if !d.tables.ready() {
			d.fetchAny(ctx, append(d.members.controls(0), d.settings.Seeds...))
			return
		}
		if hub, own := d.members.follow(d.clock.now()); !own && d.feed.differs(d.clock.now()) {
			d.fetchAny(ctx, []string{hub.Control})
		}
		if config := d.tables.current(); config != nil && d.storeLost.Load() {
			d.fetchAny(ctx, d.members.controls(config.Version))
		}
	})
}

// fetchAny takes in the first snapshot that one of the addresses gives.
func (d *Daemon) fetchAny(ctx context.Context, addresses []string) {
	for _, address := range addresses {
		if address == "" || address == d.settings.ControlListen || ctx.Err() != nil {
			continue
		}
		s, err := fetchSnapshot(ctx, address)
		if err != nil {
			d.logger.WithName("control").V(1).Info("No snapshot.", "From", address, "Error", err.Error())
			continue
		}
		for _, r := range s.Operators {
			d.takeOperator(r)
		}
		keys := make([]string, 0, len(s.Endpoints))
		for _, r := range s.Endpoints {
			d.takeEndpoint(r)
			keys = append(keys, r.Key)
		}
		d.changed(d.tables.complete(s.End, keys, d.clock.now()))
		d.logger.WithName("control").Info("Snapshot taken.", "From", address, "Records", len(s.Operators)+len(s.Endpoints))
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
	return s, json.NewDecoder(io.LimitReader(response.Body, maxSnapshot)).Decode(&s)
}
