package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// headerBytes is the limit of a request's head in the configuration, headerRoom what is left unused of it.
	headerBytes = 16384
	headerRoom  = 84
	// hostilePerDaemon is the number of requests with many parts that each daemon gets.
	hostilePerDaemon = 24
	warmTime         = 5 * time.Second
	watchTime        = 14 * time.Second
	// lateTime is the time after a route's time-out by which the rule wants an answer.
	lateTime = 500 * time.Millisecond
	// leastLate is the number of requests without an answer from which the rule counts.
	leastLate = 8
)

// runParts sends model requests whose prompts have as many parts as the limit of the head allows, and whose first
// part crashes the replica that begins to run them. The rule: of the ordinary requests that are unanswered at their
// route's time-out, no more than half, or fewer than eight, have no answer half a second later.
func runParts(tb *testbed) (bool, error) {
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
	err = tb.startDaemons(func(string) (string, string, error) { return store, api, nil })
	if err != nil {
		return false, err
	}
	people := newCrowd(tb)
	time.Sleep(warmTime)
	startedAt := time.Now()
	var hostile sync.WaitGroup
	if tb.trouble {
		for _, d := range tb.daemons {
			for n := range hostilePerDaemon {
				hostile.Go(func() {
					text, parts := longPrompt(d.zone, n)
					tb.record.line("hostile client: %d bytes of head with %d parts to %s", len(text), parts, d.name)
					tb.record.line("hostile client: %s answers %s", d.name, exchange(d.front, text, modelTimeout+10*time.Second))
				})
			}
		}
	}
	missed := tb.watchReady(startedAt.Add(watchTime))
	samples := people.end()
	hostile.Wait()
	unanswered, late, failed := 0, 0, 0
	for _, s := range samples {
		if s.sentAt.Before(startedAt.Add(-plainTimeout)) {
			continue
		}
		if s.took >= plainTimeout {
			unanswered++
		}
		if s.took >= plainTimeout+lateTime {
			late++
		}
		if s.status != 200 {
			failed++
		}
	}
	tb.record.say("ordinary requests: %d sent, %d not served; unanswered at the time-out of %v: %d, of these %v later: %d; readiness: %d misses",
		len(samples), failed, plainTimeout, unanswered, lateTime, late, missed)
	for _, d := range tb.daemons {
		if d.command.ProcessState != nil {
			tb.record.say("%s has ended", d.name)
		}
	}
	return late >= leastLate && 2*late > unanswered, nil
}

// watchReady asks all daemons for readiness once a second until a time, and returns the number of misses.
func (tb *testbed) watchReady(until time.Time) int {
	var mutex sync.Mutex
	var asking sync.WaitGroup
	missed := 0
	for time.Now().Before(until) {
		for _, d := range tb.daemons {
			asking.Go(func() {
				if d.isReady() {
					return
				}
				tb.record.line("platform: %s misses a question for readiness", d.name)
				mutex.Lock()
				defer mutex.Unlock()
				missed++
			})
		}
		time.Sleep(time.Second)
	}
	asking.Wait()
	return missed
}

// longPrompt returns a model request whose head is as long as the configuration allows, and its number of parts. No two
// are alike.
func longPrompt(zone string, n int) (text string, parts int) {
	head := fmt.Sprintf("POST /fix/%s-%d HTTP/1.1\r\nHost: %s\r\n%s: long-%s-%d\r\n%s: %s\r\n%s: 4000\r\nModel: m\r\n%s: 3000,20\r\nContent-Length: 0\r\n%s: ",
		zone, n, host, names["callID"], zone, n, names["key"], key, names["deadline"], names["tokens"], names["parts"])
	var list strings.Builder
	list.WriteString(crashPart + ":400")
	for parts = 1; len(head)+list.Len()+len(",fff:1\r\n\r\n") < headerBytes-headerRoom; parts++ {
		fmt.Fprintf(&list, ",%x:1", parts)
	}
	return head + list.String() + "\r\n\r\n", parts
}
