package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// replica is a stand-in for a replica of the plain service: it runs requests in a few slots, queues some more and
// rejects those beyond.
type replica struct {
	id, version, zone string
	rec               *record
	store             *store
	server            *http.Server
	address           string
	born              int64
	slots             chan struct{}
	queue             chan struct{}
	mutex             sync.Mutex
	state             string
	sequence          int64
	runs              int
	stop              chan struct{}
	ended             bool
	// failing replicas answer each request with an error.
	failing bool
}

const (
	service       = "order-desk"
	replicaSlots  = 6
	replicaQueue  = 24
	heartbeat     = 1200 * time.Millisecond
	answerBytes   = 800
	meanWork      = 60 * time.Millisecond
	unsafeErrors  = 0.004
	safeErrors    = 0.14
	unsafePrefix  = "/order/"
	safePrefix    = "/status/"
	drainDuration = 2 * time.Second
)

func startReplica(rec *record, s *store, id, version, zone string) (*replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: id, version: version, zone: zone, rec: rec, store: s, address: listener.Addr().String(), born: time.Now().UnixMilli(),
		slots: make(chan struct{}, replicaSlots), queue: make(chan struct{}, replicaSlots+replicaQueue), state: "ready", stop: make(chan struct{}),
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	rec.say("replica %s (%s) starts", id, version)
	r.register()
	go r.beat()
	return r, nil
}

// register writes the replica's entry to the store.
func (r *replica) register() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.ended {
		return
	}
	r.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": service, "address": r.address, "zone": r.zone, "version": r.version, "slots": replicaSlots, "state": r.state,
		"cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born,
	})
	r.store.put(name("servers"), r.id, value)
}

func (r *replica) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-ticker.C:
			r.register()
		}
	}
}

// kill ends the replica at once, without draining, and removes its entry.
func (r *replica) kill() {
	r.mutex.Lock()
	if r.ended {
		r.mutex.Unlock()
		return
	}
	r.ended = true
	close(r.stop)
	r.mutex.Unlock()
	_ = r.server.Close()
	r.store.put(name("servers"), r.id, nil)
	r.rec.say("replica %s (%s) has ended", r.id, r.version)
}

// drain reports that the replica leaves, serves for the drain time and a little longer, and ends.
func (r *replica) drain() {
	r.mutex.Lock()
	r.state = "draining"
	r.mutex.Unlock()
	r.register()
	r.rec.say("replica %s (%s) drains", r.id, r.version)
	time.Sleep(drainDuration + 500*time.Millisecond)
	r.kill()
}

// refuse answers that the request was not run.
func (r *replica) refuse(w http.ResponseWriter, status int) {
	w.Header().Set(name("notrun"), "1")
	w.WriteHeader(status)
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(name("attempt"))
	w.Header().Set(name("attempt"), id)
	w.Header().Set(name("replica"), r.id)
	if expected := q.Header.Get(name("expected")); expected != "" && expected != r.id {
		r.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		r.refuse(w, http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	select {
	case r.queue <- struct{}{}:
		defer func() { <-r.queue }()
	default:
		r.refuse(w, http.StatusServiceUnavailable)
		return
	}
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	case <-q.Context().Done():
		return
	}
	r.mutex.Lock()
	r.runs++
	r.mutex.Unlock()
	r.rec.add("run %s at %s (%s) body=%d", id, r.id, r.version, len(body))
	work := time.Duration(float64(meanWork) * (0.5 + rand.Float64()))
	select {
	case <-time.After(work):
	case <-q.Context().Done():
		return
	}
	share := unsafeErrors
	if strings.HasPrefix(q.URL.Path, safePrefix) {
		share = safeErrors
	}
	w.Header().Set(name("signature"), fmt.Sprintf("%s.%s", r.id, id))
	if r.failing || rand.Float64() < share {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write([]byte(strings.Repeat("x", answerBytes)))
}
