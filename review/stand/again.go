package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

const (
	againLength = 12 * time.Second
	againSettle = 6 * time.Second
)

// runAgain orders a roll-out of a version that fails, waits until it is rolled back and its replicas are gone, and orders
// the same version again, with sound replicas.
func runAgain(rec *record, program string, trouble bool) (broken bool, err error) {
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
	order, _ := json.Marshal(map[string]any{"service": service, "target": newVersion, "duration_s": againLength.Seconds()})
	if trouble {
		bad, err := startGroup(rec, b.store, newVersion, "bad")
		if err != nil {
			return false, err
		}
		for _, r := range bad {
			r.failing = true
		}
		p.set(bad)
		b.store.put(name("operators"), "rollout/"+service, order)
		rec.say("first order: %s", order)
		if err := p.await("rolled_back", againLength+time.Second); err != nil {
			return false, err
		}
		time.Sleep(drainDelay + drainDuration + againSettle)
	}
	good, err := startGroup(rec, b.store, newVersion, "good")
	if err != nil {
		return false, err
	}
	p.set(good)
	b.store.put(name("operators"), "rollout/"+service, order)
	rec.say("order of sound replicas: %s", order)
	err = p.await("completed", againLength)
	rec.say("states since this order: %s", strings.Join(p.since(), " "))
	return err != nil, nil
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

// set sets the replicas of the new version and forgets the states before.
func (p *rolloutPlatform) set(list []*replica) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.new, p.states = list, nil
}

func (p *rolloutPlatform) since() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.states
}

// await waits until the system has written a state.
func (p *rolloutPlatform) await(state string, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, s := range p.since() {
			if s == state {
				return nil
			}
		}
	}
	return fmt.Errorf("the state %s was not written: %v", state, p.since())
}
