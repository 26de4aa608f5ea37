package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// partCase: one part of a prompt crashes each replica that begins to write an answer on it. Replicas write the head and the
// first event and then crash; each is back after 3 s under a new id. Requests with the part come at any daemon, no two
// alike. Sound requests of the same route share their caller and the first part.
func partCase(s *site, trouble bool) {
	const (
		poison   = "bad0bad0"
		interval = 1500 * time.Millisecond
		length   = 45 * time.Second
	)
	var mutex sync.Mutex
	var crashes []time.Time
	reached := map[string]time.Time{}
	serve := func(r *replica, l *life, c net.Conn, q *http.Request, _ []byte) bool {
		id, bad := q.Header.Get("Attempt-Id"), strings.Contains(q.Header.Get(names["parts"]), poison)
		if bad {
			mutex.Lock()
			reached[id] = time.Now()
			mutex.Unlock()
			s.note("request %s with the part reaches %s", id, l.id)
		}
		if !bad || !trouble {
			return r.stream(l, c, q, 12, 60*time.Millisecond, 30*time.Millisecond)
		}
		time.Sleep(60 * time.Millisecond)
		event := "id: 1\ndata: token-1\n\n"
		first := fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		if os.Getenv("EVENT") == "none" {
			first = ""
		}
		_, _ = io.WriteString(c, r.head(l, q, "200 OK")+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+first)
		time.Sleep(5 * time.Millisecond)
		mutex.Lock()
		crashes = append(crashes, time.Now())
		s.note("%s has begun to write the answer to %s and crashes (crash %d)", l.id, id, len(crashes))
		mutex.Unlock()
		r.crash(l, 3*time.Second)
		return false
	}
	for i := range 9 {
		s.addReplica("lentil-pool", []string{"tt-north-a", "tt-north-b", "tt-north-c"}[i%3], 64, serve)
	}
	s.store.write(names["operators"], "config", config(route("stock", "streaming", "lentil-pool", 1, 3000, 600, 0, false)))
	s.startDaemons(3)
	s.awaitReady()
	time.Sleep(5 * time.Second)
	until := time.Now().Add(length)
	asked, served, cut, refused, cutLate := 0, 0, 0, 0, 0
	late := func(at time.Time) bool { return len(crashes) >= 5 && at.After(crashes[4].Add(contact)) }
	go every(20, until, func() {
		n := s.ids.Add(1)
		r := s.ask(call{
			method: "POST", path: "/stock/a", key: "key-of-hule930", tokens: "1800,60", deadline: 3 * time.Second,
			parts: fmt.Sprintf("aa00aa00:341,%08x:227,%08x:1232", n%40, 0x10000000+n), body: fmt.Sprintf("sound request %d", n),
		})
		mutex.Lock()
		defer mutex.Unlock()
		asked++
		switch {
		case r.whole && r.status == 200:
			served++
		case r.status == 200:
			cut++
			if late(r.sent) {
				cutLate++
			}
			s.note("sound stream %s at %s is cut after %d events", r.id, r.daemon.name, r.events)
		default:
			refused++
			s.note("sound request %s at %s ends with %d %s", r.id, r.daemon.name, r.status, r.problem)
		}
	})
	every(1/interval.Seconds(), until, func() {
		n := s.ids.Add(1)
		q := call{
			method: "POST", path: "/stock/b", key: "key-of-hule930", tokens: "1800,60", deadline: 3 * time.Second,
			parts: fmt.Sprintf("aa00aa00:341,%s:227,%08x:1232", poison, 0x20000000+n), body: fmt.Sprintf("request %d", n),
		}
		r := s.ask(q)
		s.note("client of %s at %s gets %d, %d events %s", r.id, r.daemon.name, r.status, r.events, r.problem)
	})
	time.Sleep(3 * time.Second)
	mutex.Lock()
	count := 0
	for _, at := range reached {
		if late(at) {
			count++
		}
	}
	total := len(crashes)
	text := fmt.Sprintf("%d crashes; %d requests with the part reached replicas later than %v after the fifth crash (allowed: 3); sound streams: %d asked, %d served, %d cut (%d of them later than that), %d otherwise",
		total, count, contact, asked, served, cut, cutLate, refused)
	mutex.Unlock()
	if served < asked/4 {
		cannotRun("too few sound requests were served: " + text)
	}
	s.finish(trouble && count > 3, text)
}
