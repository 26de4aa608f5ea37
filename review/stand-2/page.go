package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// pageCase: callers of one client account read the same page again and again, with a safe route. Twice, for 4 s, all replicas
// of the service reset the channel of a part of the requests that they ran; otherwise they are sound.
func pageCase(s *site, trouble bool) {
	const (
		greyFor  = 4 * time.Second
		share    = 0.4
		length   = 60 * time.Second
		statuses = 11.5
		orders   = 28.7
	)
	begins := []time.Duration{4 * time.Second, 23 * time.Second}
	var start time.Time
	grey := func() bool {
		for _, at := range begins {
			if since := time.Since(start); !start.IsZero() && trouble && since > at && since < at+greyFor {
				return true
			}
		}
		return false
	}
	serve := func(r *replica, l *life, c net.Conn, q *http.Request, _ []byte) bool {
		time.Sleep(60 * time.Millisecond)
		if grey() && rand.Float64() < share {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			return false
		}
		_, err := io.WriteString(c, r.head(l, q, "200 OK")+"Content-Length: 800\r\n\r\n"+strings.Repeat("x", 800))
		return err == nil
	}
	zones := []string{"tt-north-a", "tt-north-b", "tt-north-c"}
	for i := range 3 {
		s.addReplica("order-desk", zones[i], 6, serve)
	}
	s.store.write(names["operators"], "config", config(
		route("order", "unsafe", "order-desk", 1, 1500, 300, 2, false), route("status", "safe", "order-desk", 2, 1500, 300, 2, false)))
	s.startDaemons(7)
	s.awaitReady()
	time.Sleep(4 * time.Second)
	var mutex sync.Mutex
	asked, served, calmAsked, calmServed := map[string]int{}, map[string]int{}, 0, 0
	bySecond := map[int][2]int{}
	start = time.Now()
	end := start.Add(length)
	calmFrom := start.Add(begins[len(begins)-1] + greyFor + contact)
	send := func(kind string, q call) func() {
		return func() {
			q := q
			if q.method == "POST" {
				q.body = fmt.Sprintf("order %d", s.ids.Add(1))
			}
			began := time.Now()
			r := s.ask(q)
			ok := r.whole && r.status == 200
			mutex.Lock()
			defer mutex.Unlock()
			asked[kind]++
			if ok {
				served[kind]++
			}
			if kind != "order-status" {
				return
			}
			second := bySecond[int(began.Sub(start).Seconds())]
			second[0]++
			if ok {
				second[1]++
			} else {
				s.note("order-status of a caller at %s: %d %s, Retry-After %v", r.daemon.name, r.status, r.problem, r.retryAfter)
			}
			bySecond[int(began.Sub(start).Seconds())] = second
			if began.After(calmFrom) {
				calmAsked++
				if ok {
					calmServed++
				}
			}
		}
	}
	go every(orders, end, send("place-order", call{method: "POST", path: "/order/place", key: "key-of-hule930", deadline: 3 * time.Second}))
	every(statuses, end, send("order-status", call{method: "GET", path: "/status/open", key: "key-of-hule930", deadline: 3 * time.Second}))
	time.Sleep(3500 * time.Millisecond)
	mutex.Lock()
	line := ""
	for i := range int(length.Seconds()) {
		line += fmt.Sprintf(" %d/%d", bySecond[i][1], bySecond[i][0])
	}
	s.note("order-status, served of asked in each second:%s", line)
	all := float64(served["place-order"]+served["order-status"]) / float64(asked["place-order"]+asked["order-status"])
	one := float64(served["order-status"]) / float64(asked["order-status"])
	text := fmt.Sprintf("served: order-status %d of %d (%.2f), place-order %d of %d, all requests %.2f; order-status later than %v after the last disturbance: %d of %d",
		served["order-status"], asked["order-status"], one, served["place-order"], asked["place-order"], all, contact, calmServed, calmAsked)
	mutex.Unlock()
	s.finish(trouble && one < all/4, text)
}
