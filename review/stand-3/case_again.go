package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

type (
	// streams are sound requests of the model route and how they ended.
	streams struct {
		record  *record
		mutex   sync.Mutex
		whole   int
		cut     int
		refused int
		running sync.WaitGroup
		stop    chan struct{}
	}

	// arrival is a request with the crashing part that has reached a replica.
	arrival struct {
		id string
		at time.Time
	}
)

const (
	// contactTime is contact_ms, killedTime the time for which all processes are down.
	contactTime = 3 * time.Second
	killedTime  = time.Second
	// crashingPause is the time between two requests with the crashing part.
	crashingPause = 3500 * time.Millisecond
	// touchMargin is added to contactTime before the first request after the restart.
	touchMargin = 500 * time.Millisecond
	// crashesBefore is the number of crashes after which the rule counts, allowedAfter the requests that it allows then.
	crashesBefore = 5
	allowedAfter  = 3
	findLimit     = 45 * time.Second
	againTime     = 24 * time.Second
	streamPause   = 100 * time.Millisecond
)

// runAgain sends requests with a part that crashes replicas until the part is quarantined, kills all processes at once, and
// goes on. The rule: no more than allowedAfter requests with the part reach replicas later than contactTime after the
// fifth crash, sent by machines in touch.
func runAgain(tb *testbed) (bool, error) {
	if err := tb.start(); err != nil {
		return false, err
	}
	store, err := tb.serve(tb.store)
	if err != nil {
		return false, err
	}
	api, err := tb.serve(tb.cloud)
	if err != nil {
		return false, err
	}
	if err := tb.startDaemons(func(string) (string, string, error) { return store, api, nil }); err != nil {
		return false, err
	}
	sound := newStreams(tb)
	time.Sleep(warmTime)
	number := 0
	next := func() {
		d := tb.daemons[number%len(tb.daemons)]
		id := fmt.Sprintf("crashing-%d", number)
		number++
		go func() {
			status, _ := stream(d.front, id, "shared:400,"+crashPart+":300,"+id+":20")
			tb.record.line("client: %s to %s: status %d", id, d.name, status)
		}()
		time.Sleep(crashingPause)
	}
	for end := time.Now().Add(findLimit); len(tb.crashes()) < crashesBefore && time.Now().Before(end); {
		next()
	}
	crashes := tb.crashes()
	if len(crashes) < crashesBefore {
		sound.end()
		return false, fmt.Errorf("only %d crashes", len(crashes))
	}
	fifth := crashes[crashesBefore-1].at
	time.Sleep(time.Until(fifth.Add(contactTime)))
	killedAt, backAt := time.Time{}, time.Time{}
	if tb.trouble {
		killedAt = time.Now()
		if err := tb.killAll(); err != nil {
			sound.end()
			return false, err
		}
		backAt = time.Now()
		time.Sleep(contactTime + touchMargin)
	}
	for end := time.Now().Add(againTime); time.Now().Before(end); {
		next()
	}
	sound.end()
	counted := 0
	for _, a := range tb.crashes() {
		inTouch := killedAt.IsZero() || a.at.Before(killedAt) || a.at.After(backAt.Add(contactTime))
		if a.at.After(fifth.Add(contactTime)) && inTouch {
			counted++
			tb.record.line("counted: %s, %v after the fifth crash", a.id, a.at.Sub(fifth).Round(time.Millisecond))
		}
	}
	tb.record.say("%d requests with the part were sent, %d reached replicas; later than %v after the fifth crash, from machines in touch: %d, allowed: %d; sound streams: %d whole, %d cut, %d refused",
		number, len(tb.crashes()), contactTime, counted, allowedAfter, sound.whole, sound.cut, sound.refused)
	return counted > allowedAfter, nil
}

// crashes returns the requests that have crashed a replica, in the order of time.
func (tb *testbed) crashes() []arrival {
	tb.record.mutex.Lock()
	defer tb.record.mutex.Unlock()
	return append([]arrival(nil), tb.record.crashes...)
}

// killAll kills all processes at the same moment and starts them again. The settings then say that the system does not
// start for the first time.
func (tb *testbed) killAll() error {
	tb.record.line("all processes are killed")
	for _, d := range tb.daemons {
		_ = d.command.Process.Signal(syscall.SIGKILL)
	}
	for _, d := range tb.daemons {
		_ = d.command.Wait()
	}
	time.Sleep(killedTime)
	for _, d := range tb.daemons {
		if err := d.restart(tb.program); err != nil {
			return err
		}
	}
	tb.record.line("all processes are started again")
	return tb.awaitReady()
}

func newStreams(tb *testbed) *streams {
	s := &streams{record: tb.record, stop: make(chan struct{})}
	for _, d := range tb.daemons {
		s.running.Go(func() {
			ticker := time.NewTicker(streamPause)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-s.stop:
					return
				case <-ticker.C:
				}
				id := fmt.Sprintf("sound-%s-%d", d.zone, n)
				s.running.Go(func() { s.ask(d, id) })
			}
		})
	}
	return s
}

// ask sends a sound request, which shares its caller and its first part with the crashing ones.
func (s *streams) ask(d *daemon, id string) {
	status, whole := stream(d.front, id, "shared:400,"+id+":20")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case whole:
		s.whole++
	case status == http.StatusOK || status == http.StatusBadGateway:
		s.cut++
		s.record.line("client: %s to %s: cut, status %d", id, d.name, status)
	default:
		s.refused++
	}
}

func (s *streams) end() {
	close(s.stop)
	s.running.Wait()
}

// stream sends a model request and reads its answer. whole reports whether all of a stream has come.
func stream(front, id, parts string) (status int, whole bool) {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return 0, false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(modelTimeout + time.Second))
	text := fmt.Sprintf("POST /fix/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: 4000\r\nModel: m\r\n%s: 720,20\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", id,
		host, names["callID"], id, names["key"], key, names["deadline"], names["tokens"], names["parts"], parts)
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, err == nil && strings.Contains(string(body), fmt.Sprintf("token-%d\n", eventCount))
}
