package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

type (
	// call is one request of a client.
	call struct {
		method, path, key, parts, tokens, body string
		deadline                               time.Duration
	}

	// result is what the client has got.
	result struct {
		id     string
		daemon *daemon
		sent   time.Time
		took   time.Duration
		// status is 0 without an answer; whole reports whether the answer is complete and signed.
		status     int
		whole      bool
		retryAfter time.Duration
		events     int
		bytes      int
		problem    string
	}
)

// attempt sends one request on a new channel to a daemon and reads the whole answer.
func (s *site) attempt(d *daemon, q call) result {
	r := result{id: fmt.Sprintf("%012x", 0xabc000000000+s.ids.Add(1)), daemon: d, sent: time.Now()}
	defer func() {
		r.took = time.Since(r.sent)
		s.note("%s %s %s was sent to %s %d ms ago; its client gets %d, whole %v, %d bytes, %d events %s",
			r.id, q.method, q.path, d.name, r.took.Milliseconds(), r.status, r.whole, r.bytes, r.events, r.problem)
	}()
	c, err := net.DialTimeout("tcp", d.frontend, time.Second)
	if err != nil {
		r.problem = "no connection"
		return r
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(q.deadline))
	if _, err := io.WriteString(c, s.text(q, r.id)); err != nil {
		r.problem = "not sent"
		return r
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		r.problem = "no answer: " + err.Error()
		return r
	}
	r.status = answer.StatusCode
	if text := answer.Header.Get("Retry-After"); text != "" {
		seconds, _ := strconv.ParseFloat(text, 64)
		r.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	body, err := io.ReadAll(answer.Body)
	r.bytes, r.events = len(body), strings.Count(string(body), "\n\n")
	if err != nil {
		r.problem = "cut: " + err.Error()
		return r
	}
	r.whole = answer.Header.Get(names["signature"]) != ""
	return r
}

// text returns a request as it is sent.
func (s *site) text(q call, id string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, host, id, q.deadline.Milliseconds())
	if q.key != "" {
		text += "Credential: " + q.key + "\r\n"
	}
	if q.parts != "" {
		text += "Model: m\r\n" + names["tokens"] + ": " + q.tokens + "\r\n" + names["parts"] + ": " + q.parts + "\r\n"
	}
	if q.method == "POST" {
		text += "Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n"
	}
	return text + "\r\n" + q.body
}

// ask sends a request and, after a promise that it has not run, one more within its time limit, at another daemon.
func (s *site) ask(q call) result {
	left := q.deadline
	r := s.attempt(s.daemons[rand.IntN(len(s.daemons))], q)
	promised := r.status == 429 || r.status == 503 || r.status == 408 || r.status == 421
	if !promised {
		return r
	}
	left -= r.took
	wait := min(r.retryAfter, left/3)
	time.Sleep(wait)
	if q.deadline = left - wait; q.deadline > 50*time.Millisecond {
		first := r.sent
		r = s.attempt(s.daemons[rand.IntN(len(s.daemons))], q)
		r.took = time.Since(first)
	}
	return r
}

// every calls f in its own goroutine at an even rate until the end.
func every(rate float64, until time.Time, f func()) {
	for n := 0; ; n++ {
		time.Sleep(time.Duration(float64(time.Second) / rate))
		if time.Now().After(until) {
			return
		}
		go f()
	}
}
