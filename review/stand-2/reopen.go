package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// reopenCase: the operator orders a roll-out of a good version, and the system completes it. Some seconds later all processes
// of the system are killed at once, and start again. The platform acts on each status that the system writes, as the pages
// say: at completed it stops the old replicas, at rolled_back it drains the new ones some seconds later.
func reopenCase(s *site, trouble bool) {
	const (
		duration   = 30 * time.Second
		down       = time.Second
		recover    = 12 * time.Second
		observed   = 45 * time.Second
		drainDelay = 3 * time.Second
		drainTime  = 3 * time.Second
		// statusErrors is the part of order-status that the replicas answer with a 500, orderErrors that of place-order.
		statusErrors, orderErrors = 0.14, 0.004
	)
	serve := func(r *replica, l *life, c net.Conn, q *http.Request, _ []byte) bool {
		time.Sleep(60 * time.Millisecond)
		errors := orderErrors
		if strings.HasPrefix(q.URL.Path, "/status/") {
			errors = statusErrors
		}
		if rand.Float64() < errors {
			_, err := io.WriteString(c, r.head(l, q, "500 Internal Server Error")+"Content-Length: 6\r\n\r\nfailed")
			return err == nil
		}
		_, err := io.WriteString(c, r.head(l, q, "200 OK")+"Content-Length: 800\r\n\r\n"+strings.Repeat("x", 800))
		return err == nil
	}
	zones := []string{"tt-north-a", "tt-north-b", "tt-north-c"}
	add := func(version string) (list []*replica) {
		for i := range 3 {
			r := s.prepareReplica("order-desk", zones[i], 6, serve)
			r.version = version
			s.startReplica(r)
			list = append(list, r)
		}
		return list
	}
	old := add("v1")
	s.store.write("keyed.op", "config", config(
		route("order", "unsafe", "order-desk", 1, 1500, 300, 2, false), route("status", "safe", "order-desk", 2, 1500, 300, 2, false)))
	s.startDaemons(3)
	s.awaitReady()
	time.Sleep(4 * time.Second)
	type count struct{ asked, served int }
	var mutex sync.Mutex
	phases := map[string]*count{}
	phase := "before"
	s.replay = func(name string) {
		mutex.Lock()
		defer mutex.Unlock()
		phase = name
	}
	end := time.Now().Add(4*time.Second + duration + 4*time.Second + down + observed)
	send := func(q call) func() {
		return func() {
			q := q
			n := s.ids.Add(1)
			q.path += fmt.Sprintf("/%d", n)
			if q.method == "POST" {
				q.body = fmt.Sprintf("order %d", n)
			}
			mutex.Lock()
			p := phases[phase]
			if p == nil {
				p = &count{}
				phases[phase] = p
			}
			mutex.Unlock()
			r := s.ask(q)
			mutex.Lock()
			defer mutex.Unlock()
			p.asked++
			if r.whole && r.status == 200 {
				p.served++
			} else if r.status != 500 {
				s.note("%s %s at %s: %d %s", q.method, q.path, r.daemon.name, r.status, r.problem)
			}
		}
	}
	go every(28.7, end, send(call{method: "POST", path: "/order", key: "key-of-hule930", deadline: 3 * time.Second}))
	go every(11.5, end, send(call{method: "GET", path: "/status", key: "key-of-hule930", deadline: 3 * time.Second}))
	time.Sleep(4 * time.Second)
	s.store.write("keyed.op", "rollout/order-desk", map[string]any{"service": "order-desk", "target": "v2", "duration_s": duration.Seconds()})
	ordered := time.Now()
	s.note("the operator orders v2 of order-desk within %v", duration)
	updated := add("v2")
	var states []string
	go func() {
		for state := ""; time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			now := s.rolloutState("order-desk")
			if now == state {
				continue
			}
			state = now
			mutex.Lock()
			states = append(states, state)
			mutex.Unlock()
			s.note("status/rollout/order-desk: %s, %.1f s after the order", state, time.Since(ordered).Seconds())
			switch state {
			case "completed":
				for _, r := range old {
					r.stop()
				}
			case "rolled_back":
				time.AfterFunc(drainDelay, func() {
					for _, r := range updated {
						r.drain(drainTime)
					}
				})
			}
		}
	}()
	time.Sleep(duration + 4*time.Second)
	if trouble {
		s.note("all processes of the system are killed")
		for _, d := range s.daemons {
			_ = d.command.Process.Kill()
			<-d.exited
		}
		s.replay("down")
		time.Sleep(down)
		for _, d := range s.daemons {
			text, err := os.ReadFile(d.settings)
			check(err)
			check(os.WriteFile(d.settings, []byte(strings.Replace(string(text), "bootstrap=true", "bootstrap=false", 1)), 0o600))
			d.run(s)
		}
		s.note("all processes of the system are back")
	}
	s.replay("recovery")
	time.Sleep(recover)
	s.replay("later")
	time.Sleep(time.Until(end) + 3500*time.Millisecond)
	mutex.Lock()
	before, later := *phases["before"], *phases["later"]
	text := fmt.Sprintf("statuses %v; served before the fault: %d of %d; of those sent later than %v after the machines were back: %d of %d",
		states, before.served, before.asked, recover, later.served, later.asked)
	mutex.Unlock()
	if before.served*4 < before.asked {
		cannotRun("the deployment does not serve before the fault: " + text)
	}
	s.finish(trouble && later.served*4 < later.asked, text)
}
