package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// bed is a small deployment: the platform's stand-ins, and daemons as separate processes.
type bed struct {
	rec     *record
	folder  string
	store   *store
	daemons []*daemon
	clients *clients
}

const apiKey = "i9n73hh2b9wu3fexd9dn"

// zones are those of the small site with the number of its machines.
var zones = []struct {
	name     string
	machines int
}{{"tt-north-a", 3}, {"tt-north-b", 2}, {"tt-north-c", 2}}

// newBed starts the stand-ins and prepares the daemons, at most limit of them.
func newBed(rec *record, program string, limit int) (*bed, error) {
	folder, err := os.MkdirTemp("", "lentilstage-review")
	if err != nil {
		return nil, err
	}
	b := &bed{rec: rec, folder: folder, store: newStore()}
	storeAddress, err := listen(b.store)
	if err != nil {
		return nil, err
	}
	cloud, err := listen(serveAPI(rec))
	if err != nil {
		return nil, err
	}
	for _, z := range zones {
		for i := 1; i <= z.machines && len(b.daemons) < limit; i++ {
			d, err := newDaemon(rec, program, folder, fmt.Sprintf("edge-%s-%d", z.name, i), z.name, storeAddress, cloud)
			if err != nil {
				return nil, err
			}
			b.daemons = append(b.daemons, d)
		}
	}
	var seeds []string
	for i := 0; i < len(b.daemons); i += 3 {
		seeds = append(seeds, b.daemons[i].control)
	}
	for _, d := range b.daemons {
		d.seeds = strings.Join(seeds, ",")
	}
	b.clients = newClients(rec, b.daemons, apiKey)
	return b, nil
}

func listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// start starts all daemons and waits until they are ready.
func (b *bed) start() error {
	for _, d := range b.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, d := range b.daemons {
			if d.ready() {
				ready++
			}
		}
		if ready == len(b.daemons) {
			return nil
		}
	}
	return fmt.Errorf("the daemons did not get ready")
}

// close ends all processes and removes the temporary folder.
func (b *bed) close() {
	for _, d := range b.daemons {
		d.kill()
	}
	_ = os.RemoveAll(b.folder)
}

// configure writes the operator's config.
func (b *bed) configure(text string) error {
	var config map[string]any
	if err := json.Unmarshal([]byte(text), &config); err != nil {
		return err
	}
	b.store.put(name("operators"), "config", []byte(text))
	return nil
}

const (
	oldVersion  = "v1"
	settledTime = 4 * time.Second
)

// startGroup starts a replica of a version in each zone.
func startGroup(rec *record, s *store, version, prefix string) ([]*replica, error) {
	var list []*replica
	for i, z := range zones {
		r, err := startReplica(rec, s, fmt.Sprintf("i-%s-%d", prefix, i), version, z.name)
		if err != nil {
			return nil, err
		}
		list = append(list, r)
	}
	return list, nil
}
