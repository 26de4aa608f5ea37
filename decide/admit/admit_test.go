package admit

import (
	"testing"
	"time"

	"lentilstage.dev/decide/cases"
)

// TestRequests guards against admitted requests that can't be answered in time, and against
// refusals while there is capacity.
func TestRequests(t *testing.T) {
	// Times are in milliseconds.
	type requestCase struct {
		Name       string `yaml:"Name"`
		Wait       int    `yaml:"Wait"`
		Own        int    `yaml:"Own"`
		Target     int    `yaml:"Target"`
		Left       int    `yaml:"Left"`
		Rank       int    `yaml:"Rank"`
		Admitted   bool   `yaml:"Admitted"`
		RetryAfter int    `yaml:"RetryAfter"`
		// StopIn is the time until the daemon stops; 0 if it does not. Answer is the time of the answer.
		StopIn   int  `yaml:"StopIn"`
		Answer   int  `yaml:"Answer"`
		Stopping bool `yaml:"Stopping"`
		// Spent is the part of its time that the request had spent, Expected the time for returning requests.
		Spent    float64 `yaml:"Spent"`
		Expected int     `yaml:"Expected"`
	}
	now := time.Unix(1000, 0)
	for _, c := range cases.Load[requestCase](t, "testdata/requests.yaml") {
		r := Request{Wait: ms(c.Wait), Own: ms(c.Own), Target: ms(c.Target), Left: ms(c.Left), Rank: c.Rank, Answer: ms(c.Answer), Spent: c.Spent, Expected: ms(c.Expected)}
		if c.StopIn != 0 {
			r.StopAt = now.Add(ms(c.StopIn))
		}
		v := Decide(r, now)
		if v.Stopping != c.Stopping {
			t.Errorf("%s: stopping is %v, want the opposite", c.Name, v.Stopping)
		}
		if v.Admitted != c.Admitted {
			t.Errorf("%s: admitted is %v, want the opposite", c.Name, v.Admitted)
		}
		if got := v.RetryAt.Sub(now).Milliseconds(); !v.Admitted && got != int64(c.RetryAfter) {
			t.Errorf("%s: retry after %d ms, want %d", c.Name, got, c.RetryAfter)
		}
	}
}

// TestRejections guards against callers that are told to wait for an endpoint for longer than they can, or that come
// back too early.
func TestRejections(t *testing.T) {
	// Times are in milliseconds.
	type rejectionCase struct {
		Name       string `yaml:"Name"`
		OpensIn    int    `yaml:"OpensIn"`
		Left       int    `yaml:"Left"`
		RetryAfter int    `yaml:"RetryAfter"`
	}
	const otherwise = 400 * time.Millisecond
	now := time.Unix(1000, 0)
	for _, c := range cases.Load[rejectionCase](t, "testdata/rejections.yaml") {
		if got := RetryAt(now.Add(ms(c.OpensIn)), otherwise, ms(c.Left), now).Sub(now); got != ms(c.RetryAfter) {
			t.Errorf("%s: retry after %v, want %v", c.Name, got, ms(c.RetryAfter))
		}
	}
}

// TestOverload simulates a load of three times the capacity on one engine, with and without
// admission control. It guards against admission control that does not clearly increase the
// number of answers in time.
func TestOverload(t *testing.T) {
	const (
		target  = 600 * time.Millisecond
		service = 60 * time.Millisecond
		arrival = 20 * time.Millisecond
		total   = 500
	)
	inTime := func(decide bool) int {
		now := time.Unix(1000, 0)
		free := now
		count := 0
		for range total {
			now = now.Add(arrival)
			wait := max(free.Sub(now), 0) + service
			if decide && !Decide(Request{Wait: wait, Own: service, Target: target, Left: 3 * time.Second}, now).Admitted {
				continue
			}
			free = now.Add(wait)
			if wait <= target {
				count++
			}
		}
		return count
	}
	with, without := inTime(true), inTime(false)
	if with < total/4 || with < 5*without {
		t.Errorf("%d answers in time with admission control, %d without", with, without)
	}
}
