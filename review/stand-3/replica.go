package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// replica is a server of a service. A plain one answers after a short time, a model replica sends a stream of events.
// A request whose prompt has the part crashPart crashes it as it begins to run: all its channels break, and it is back
// after crashTime.
type replica struct {
	record            *record
	id, service, zone string
	spot              bool
	model             bool
	listener          net.Listener
	address           string
	closed            bool
	mutex             sync.Mutex
	conns             map[net.Conn]bool
	born              int64
	sequence          int
	downUntil         time.Time
	state             string
	leavesMS          int
	runs, crashes     int
	stop              chan struct{}
	store             *store
}

const (
	crashPart    = "dead"
	crashTime    = 3 * time.Second
	restartTries = 50
	restartPause = 20 * time.Millisecond
	beatTime     = 1200 * time.Millisecond
	plainTime    = 20 * time.Millisecond
	prefillTime  = 120 * time.Millisecond
	eventCount   = 6
	eventPause   = 20 * time.Millisecond
)

func newReplica(rec *record, s *store, id, service, zone string, model bool) (*replica, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &replica{
		record: rec, id: id, service: service, zone: zone, model: model, listener: listener, address: address,
		conns: map[net.Conn]bool{}, born: time.Now().UnixMilli(), state: "ready", stop: make(chan struct{}), store: s,
	}
	go r.accept(listener)
	go r.beat()
	return r, nil
}

// beat writes the registration again and again, while the replica is up.
func (r *replica) beat() {
	ticker := time.NewTicker(beatTime)
	defer ticker.Stop()
	for {
		r.register()
		select {
		case <-ticker.C:
		case <-r.stop:
			return
		}
	}
}

func (r *replica) register() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if time.Now().Before(r.downUntil) {
		return
	}
	r.sequence++
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 16,
		"state": r.state, "cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born,
	}
	if r.spot {
		entry["spot"] = true
	}
	if r.leavesMS > 0 {
		entry["leaves_ms"] = r.leavesMS
	}
	value, _ := json.Marshal(entry)
	r.store.put(names["servers"], r.id, value)
}

func (r *replica) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.mutex.Lock()
		r.conns[conn] = true
		r.mutex.Unlock()
		go r.serve(conn)
	}
}

func (r *replica) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.mutex.Lock()
		delete(r.conns, conn)
		r.mutex.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !r.respond(conn, request) {
			return
		}
	}
}

// respond answers a request and reports whether the channel stays open.
func (r *replica) respond(conn net.Conn, request *http.Request) bool {
	id := request.Header.Get(names["callID"])
	if request.Header.Get(names["expected"]) != r.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names["replicaID"], r.id)
		return err == nil
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\n", names["callID"], id, names["signature"], r.id, id)
	if !r.model {
		time.Sleep(plainTime)
		r.count()
		_, err := fmt.Fprintf(conn, "%sContent-Length: 2\r\n\r\nok", head)
		return err == nil
	}
	parts := request.Header.Get(names["parts"])
	time.Sleep(prefillTime)
	r.count()
	if hasCrashPart(parts) {
		r.record.crash(id)
		r.record.line("replica %s: begins to run %s with %d parts, which crashes it", r.id, id, strings.Count(parts, ",")+1)
		r.crash()
		return false
	}
	if _, err := fmt.Fprintf(conn, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
		return false
	}
	for i := 1; i <= eventCount; i++ {
		event := fmt.Sprintf("id: %d\ndata: token-%d\n\n", i, i)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(eventPause)
	}
	_, err := fmt.Fprint(conn, "0\r\n\r\n")
	return err == nil
}

// hasCrashPart reports whether a part of the prompt, but for the last one, is the one that crashes.
func hasCrashPart(parts string) bool {
	list := strings.Split(parts, ",")
	return slices.ContainsFunc(list[:len(list)-1], func(part string) bool { return strings.HasPrefix(part, crashPart+":") })
}

func (r *replica) count() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs++
}

// crash breaks all channels and closes the port. The replica is back after crashTime, as a new process.
func (r *replica) crash() {
	r.mutex.Lock()
	if time.Now().Before(r.downUntil) {
		// Another request has crashed it at this moment.
		r.mutex.Unlock()
		return
	}
	_ = r.listener.Close()
	conns := r.conns
	r.conns = map[net.Conn]bool{}
	r.crashes++
	r.downUntil = time.Now().Add(crashTime)
	r.born = r.downUntil.UnixMilli()
	r.mutex.Unlock()
	for c := range conns {
		reset(c)
	}
	time.AfterFunc(crashTime, r.restart)
}

// restart opens the port again and registers at once.
func (r *replica) restart() {
	for range restartTries {
		listener, err := net.Listen("tcp", r.address)
		if err != nil {
			time.Sleep(restartPause)
			continue
		}
		r.mutex.Lock()
		r.listener = listener
		closed := r.closed
		r.mutex.Unlock()
		if closed {
			_ = listener.Close()
			return
		}
		go r.accept(listener)
		r.register()
		return
	}
	r.record.line("replica %s: its port could not be opened again", r.id)
}

// setLeaving makes the replica report that it leaves after a time.
func (r *replica) setLeaving(after time.Duration) {
	r.mutex.Lock()
	r.state, r.leavesMS = "draining", int(after.Milliseconds())
	r.mutex.Unlock()
	r.register()
}

func (r *replica) close() {
	close(r.stop)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.Close()
	}
}

// reset closes a channel with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
