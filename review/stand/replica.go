package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
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
}

const (
	service      = "order-desk"
	replicaSlots = 6
	replicaQueue = 24
	heartbeat    = 1200 * time.Millisecond
	answerBytes  = 800
	meanWork     = 60 * time.Millisecond
	unsafeErrors = 0.004
	safeErrors   = 0.14
	unsafePrefix = "/order/"
	safePrefix   = "/status/"
)

// registeredSlots is the number of slots in the replicas' entries.
var registeredSlots = replicaSlots

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
	r.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": service, "address": r.address, "zone": r.zone, "version": r.version, "slots": registeredSlots, "state": r.state,
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
	if c, ok := streamClass(q.URL.Path); ok {
		r.stream(w, q, id, c, len(body))
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
	if rand.Float64() < share {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write([]byte(strings.Repeat("x", answerBytes)))
}

// eventPause is the time of an event of five tokens, and prefillPerMS the prompt tokens that are read in a millisecond.
const (
	eventPause   = 20 * time.Millisecond
	prefillPerMS = 44.2
)

// streamClass returns the class of a path of the engine's routes.
func streamClass(path string) (class, bool) {
	for _, c := range classes {
		if strings.HasPrefix(path, c.path) {
			return c, true
		}
	}
	return class{}, false
}

// stream answers with a series of events.
func (r *replica) stream(w http.ResponseWriter, q *http.Request, id string, c class, length int) {
	r.rec.add("run %s at %s (%s) body=%d", id, r.id, r.version, length)
	time.Sleep(time.Duration(float64(c.prompt) / 2 / prefillPerMS * float64(time.Millisecond)))
	w.Header().Set(name("signature"), fmt.Sprintf("%s.%s", r.id, id))
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(q.Header.Get(name("lastevent")))
	for event := last + 1; event <= c.events; event++ {
		if q.Context().Err() != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", event)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventPause)
	}
}
