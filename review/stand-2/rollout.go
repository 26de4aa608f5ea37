package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// rolloutCase: the operator orders a roll-out. The new version is bad under load: a replica of it that runs more than
// badAbove requests fails four in five of them. Else it is as good as the old one.
func rolloutCase(s *site, trouble bool) {
	const (
		duration  = 20 * time.Second
		badAbove  = 3
		share     = 0.1
		tolerance = 50
		rollback  = 5 * time.Second
	)
	var mutex sync.Mutex
	versions := map[*replica]string{}
	type arrival struct {
		at      time.Time
		version string
	}
	var arrivals []arrival
	var badAt []time.Time
	var orderedAt time.Time
	serve := func(r *replica, l *life, c net.Conn, q *http.Request, _ []byte) bool {
		mutex.Lock()
		version := versions[r]
		arrivals = append(arrivals, arrival{time.Now(), version})
		bad := trouble && version == "v2" && l.busy.Load() > badAbove && len(arrivals)%5 != 0
		if bad {
			badAt = append(badAt, time.Now())
			if len(badAt) == 1 || len(badAt) == 50 {
				s.note("bad answer %d of %s, to %s, with %d requests running", len(badAt), l.id, q.Header.Get("Attempt-Id"), l.busy.Load())
			}
		}
		mutex.Unlock()
		if bad {
			time.Sleep(60 * time.Millisecond)
			_, err := io.WriteString(c, r.head(l, q, "500 Internal Server Error")+"Content-Length: 6\r\n\r\nfailed")
			return err == nil
		}
		return r.stream(l, c, q, 12, 80*time.Millisecond, 40*time.Millisecond)
	}
	zones := []string{"tt-north-a", "tt-north-b", "tt-north-c"}
	add := func(version string, count int) (list []*replica) {
		for i := range count {
			r := s.prepareReplica("lentil-pool", zones[i%3], 64, serve)
			r.version = version
			mutex.Lock()
			versions[r] = version
			mutex.Unlock()
			s.startReplica(r)
			list = append(list, r)
		}
		return list
	}
	old := add("v1", 9)
	s.store.write(names["operators"], "config", config(route("stock", "streaming", "lentil-pool", 1, 3000, 600, 0, false), route("quote", "streaming", "lentil-pool", 2, 15000, 500, 2, true)))
	s.startDaemons(3)
	s.awaitReady()
	time.Sleep(3 * time.Second)
	type count struct{ asked, served, failed, refused, other int }
	phases := map[string]*count{"before": {}, "until the limit": {}, "after": {}}
	phase := "before"
	end := time.Now().Add(6*time.Second + duration + 8*time.Second)
	go every(100, end, func() {
		n := s.ids.Add(1)
		path := []string{"/stock/a", "/quote/a"}[n%2]
		mutex.Lock()
		p := phases[phase]
		mutex.Unlock()
		r := s.ask(call{
			method: "POST", path: path, key: "key-of-hule930", tokens: "1800,60", deadline: 3 * time.Second,
			parts: fmt.Sprintf("%08x:341,%08x:227,%08x:1232", n%20, n%187+1000, 0x10000000+n), body: fmt.Sprintf("request %d", n),
		})
		mutex.Lock()
		defer mutex.Unlock()
		p.asked++
		switch {
		case r.whole && r.status == 200:
			p.served++
		case r.status == 500:
			p.failed++
		case r.status == 503:
			p.refused++
		default:
			p.other++
		}
	})
	time.Sleep(6 * time.Second)
	mutex.Lock()
	orderedAt = time.Now()
	phase = "until the limit"
	mutex.Unlock()
	s.store.write(names["operators"], "rollout/lentil-pool", map[string]any{"service": "lentil-pool", "target": "v2", "duration_s": duration.Seconds()})
	s.note("the operator orders v2 within %v", duration)
	updated := add("v2", 9)
	state := ""
	for time.Now().Before(end) {
		time.Sleep(20 * time.Millisecond)
		if time.Since(orderedAt) > duration {
			mutex.Lock()
			phase = "after"
			mutex.Unlock()
		}
		now := s.rolloutState("lentil-pool")
		if now == state {
			continue
		}
		state = now
		s.note("status/rollout/lentil-pool: %s, %.2f s after the order", state, time.Since(orderedAt).Seconds())
		switch state {
		case "completed":
			for _, r := range old {
				r.stop()
			}
		case "rolled_back":
			time.AfterFunc(3*time.Second, func() {
				for _, r := range updated {
					r.drain(3 * time.Second)
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	mutex.Lock()
	all, exposed, late := 0, 0, 0
	for _, a := range arrivals {
		if a.at.After(orderedAt) && a.at.Before(orderedAt.Add(duration)) {
			all++
			if a.version == "v2" {
				exposed++
			}
		}
		if a.version == "v2" && len(badAt) >= 50 && a.at.After(badAt[49].Add(rollback)) {
			late++
		}
	}
	allowed := share*float64(all) + tolerance
	text := fmt.Sprintf("last status %q; v2 got %d of %d requests until its time limit (allowed %.0f) and gave %d bad answers; %d requests reached it later than %v after the 50th; clients: before %+v, until the limit %+v, after %+v",
		state, exposed, all, allowed, len(badAt), late, rollback, *phases["before"], *phases["until the limit"], *phases["after"])
	bad := len(badAt) > 0
	mutex.Unlock()
	s.finish(trouble && bad && (float64(exposed) > allowed || late > 0), text)
}

// rolloutState returns the state of a service's roll-out that the system reports.
func (s *site) rolloutState(service string) string {
	s.store.mutex.Lock()
	defer s.store.mutex.Unlock()
	var m struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(s.store.topic(names["status"]).newest["rollout/"+service].Value, &m)
	return m.State
}

// stop ends a replica for good, without draining.
func (r *replica) stop() {
	r.mutex.Lock()
	r.registered = false
	l := r.life
	r.mutex.Unlock()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.over() {
		return
	}
	close(l.ended)
	_ = l.listener.Close()
	for c := range l.conns {
		_ = c.Close()
	}
	r.site.store.remove(l.id)
}
