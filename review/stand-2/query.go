package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// queryCase: a request crashes each replica that begins to run it. It comes again with the same path, caller and body, and with
// another query each time. Each replica is back after 3 s under a new id. Sound orders, no two alike, go on beside it.
func queryCase(s *site, trouble bool) {
	vary := os.Getenv("QUERY") != "same"
	var mutex sync.Mutex
	var crashes, reached []time.Time
	serve := func(r *replica, l *life, c net.Conn, q *http.Request, body []byte) bool {
		if strings.HasPrefix(string(body), "bad") {
			mutex.Lock()
			reached = append(reached, time.Now())
			s.note("%s %s reaches %s", q.Header.Get("Attempt-Id"), q.RequestURI, l.id)
			mutex.Unlock()
			time.Sleep(5 * time.Millisecond)
			if trouble {
				mutex.Lock()
				crashes = append(crashes, time.Now())
				mutex.Unlock()
				r.crash(l, 3*time.Second)
				return false
			}
		}
		time.Sleep(60 * time.Millisecond)
		_, err := fmt.Fprintf(c, "%sContent-Length: 2\r\n\r\nok", r.head(l, q, "200 OK"))
		return err == nil
	}
	for i := range 6 {
		s.addReplica("order-desk", []string{"tt-north-a", "tt-north-b", "tt-north-c"}[i%3], 6, serve)
	}
	s.store.write(names["operators"], "config", config(route("order", "unsafe", "order-desk", 1, 1500, 300, 2, false)))
	s.startDaemons(3)
	s.awaitReady()
	time.Sleep(4 * time.Second)
	until := time.Now().Add(40 * time.Second)
	asked, served, cut, cutLate := 0, 0, 0, 0
	// late reports whether a time is later than contact_ms after the third crash. The mutex must be locked.
	late := func(at time.Time) bool { return len(crashes) >= 3 && at.After(crashes[2].Add(contact)) }
	go every(28.7, until, func() {
		r := s.ask(call{method: "POST", path: "/order/a", key: "key-of-hule930", deadline: 3 * time.Second, body: fmt.Sprintf("order %d", s.ids.Add(1))})
		mutex.Lock()
		defer mutex.Unlock()
		asked++
		switch {
		case r.whole && r.status == 200:
			served++
		case r.status == 502 || r.status == 0:
			cut++
			if late(r.sent) {
				cutLate++
			}
		}
	})
	every(1, until, func() {
		q := call{method: "POST", path: "/order/a", key: "key-of-hule930", deadline: 3 * time.Second, body: "bad order"}
		if vary {
			q.path += fmt.Sprintf("?try=%d", s.ids.Add(1))
		}
		r := s.ask(q)
		s.note("client of %s gets %d %s", r.id, r.status, r.problem)
	})
	time.Sleep(3500 * time.Millisecond)
	mutex.Lock()
	count, total := 0, len(crashes)
	for _, at := range reached {
		if late(at) {
			count++
		}
	}
	text := fmt.Sprintf("%d crashes; the request reached replicas %d times later than %v after the third (allowed: 3); sound orders: %d asked, %d served, %d passed on and lost (%d of them later than that)",
		total, count, contact, asked, served, cut, cutLate)
	mutex.Unlock()
	s.finish(trouble && count > 3, text)
}
