package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

//go:embed config.json
var baseConfig string

const (
	rolloutLength = 20 * time.Second
	oldVersion    = "v1"
	newVersion    = "v2"
	// drainDelay is the time from rolled_back until the new replicas drain ("some seconds later").
	drainDelay  = 3 * time.Second
	downTime    = time.Second
	recoverTime = 12 * time.Second
	// observeTime is how long requests are counted after that.
	observeTime = 64 * time.Second
	settledTime = 4 * time.Second
)

// rolloutPlatform does what the platform does with the states that the system writes.
type rolloutPlatform struct {
	rec       *record
	mutex     sync.Mutex
	old, new  []*replica
	states    []string
	changed   chan struct{}
	completed bool
}

// apply is called for each record that a daemon appends.
func (p *rolloutPlatform) apply(topicName, key string, value []byte) {
	if topicName != name("status") || key != "rollout/"+service {
		return
	}
	var status struct{ Target, State string }
	if json.Unmarshal(value, &status) != nil || status.Target != newVersion {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.rec.say("status %s", value)
	if len(p.states) > 0 && p.states[len(p.states)-1] == status.State {
		return
	}
	p.states = append(p.states, status.State)
	switch status.State {
	case "completed":
		p.completed = true
		for _, r := range p.old {
			go r.kill()
		}
	case "rolled_back":
		for _, r := range p.new {
			go func() {
				time.Sleep(drainDelay)
				r.drain()
			}()
		}
	}
}

func (p *rolloutPlatform) isCompleted() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.completed
}

// runRollout completes a roll-out, kills all daemons at once, and counts which requests are served after they are back.
func runRollout(rec *record, program string, trouble bool) (broken bool, err error) {
	b, err := newBed(rec, program, 7)
	if err != nil {
		return false, err
	}
	defer b.close()
	p := &rolloutPlatform{rec: rec}
	b.store.onAppend = p.apply
	if err := b.configure(baseConfig); err != nil {
		return false, err
	}
	if p.old, err = startGroup(rec, b.store, oldVersion, oldVersion); err != nil {
		return false, err
	}
	if err := b.start(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b.traffic(ctx)
	time.Sleep(settledTime)
	if p.new, err = startGroup(rec, b.store, newVersion, newVersion); err != nil {
		return false, err
	}
	order, _ := json.Marshal(map[string]any{"service": service, "target": newVersion, "duration_s": rolloutLength.Seconds()})
	b.store.put(name("operators"), "rollout/"+service, order)
	rec.say("roll-out ordered: %s", order)
	ordered := time.Now()
	for !p.isCompleted() {
		if time.Since(ordered) > rolloutLength+time.Second {
			return false, fmt.Errorf("the roll-out did not complete: %s", strings.Join(p.states, " "))
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(settledTime)
	before := time.Now()
	if trouble {
		rec.say("all daemons are killed")
		for _, d := range b.daemons {
			d.signal(syscall.SIGKILL)
		}
		for _, d := range b.daemons {
			d.kill()
		}
		time.Sleep(downTime)
		for _, d := range b.daemons {
			if err := d.start(); err != nil {
				return false, err
			}
		}
		rec.say("all daemons are started again")
	}
	back := time.Now()
	time.Sleep(recoverTime + observeTime)
	end := time.Now().Add(-deadlineMS * time.Millisecond)
	cancel()
	b.clients.done.Wait()
	served, sent := b.clients.served(ordered, before)
	rec.say("before: %d of %d requests served", served, sent)
	if sent == 0 || served*4 < sent {
		return false, fmt.Errorf("less than a quarter was served before")
	}
	for from := back; from.Before(end); from = from.Add(5 * time.Second) {
		served, sent = b.clients.served(from, from.Add(5*time.Second))
		rec.say("from %2.0f s after the machines are back: %d of %d served", from.Sub(back).Seconds(), served, sent)
	}
	served, sent = b.clients.served(back.Add(recoverTime), end)
	p.mutex.Lock()
	states := strings.Join(p.states, " ")
	p.mutex.Unlock()
	rec.say("states of the roll-out: %s", states)
	rec.say("later than %v after the machines are back: %d of %d served", recoverTime, served, sent)
	return served*4 < sent, nil
}

// startGroup starts a replica of a version in each zone.
func startGroup(rec *record, s *store, version, prefix string) ([]*replica, error) {
	var list []*replica
	for i, z := range zones {
		r, err := startReplica(rec, s, fmt.Sprintf("i-%s-%d", prefix, i), version, z.name)
		if err != nil {
			return nil, err
		}
		list = append(list, r)
	}
	return list, nil
}
