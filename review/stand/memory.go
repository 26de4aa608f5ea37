package main

import (
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

//go:embed prompts.json
var promptConfig string

// class is a kind of request of the small site, with its rate on all seven machines, time limit, tokens and events.
type class struct {
	path       string
	perSecond  float64
	deadline   time.Duration
	prompt     int
	answer     int
	events     int
	usualBytes int
}

const (
	memoryLimitMB  = 284
	memoryMachines = 2
	siteMachines   = 7
	// maxBody is max_body_bytes of the config. uplink is the rate at which a client sends, in bytes a second.
	maxBody       = 4194304
	uplink        = 2 << 20
	uploadStep    = 64 << 10
	restartDelay  = time.Second
	memoryTime    = 40 * time.Second
	engineSlots   = 64
	endsThatCount = 3
)

var classes = []class{
	{path: "/spec/", perSecond: 32.8, deadline: 5 * time.Second, prompt: 9190, answer: 50, events: 10, usualBytes: 18000},
	{path: "/stock/", perSecond: 42.1, deadline: 3 * time.Second, prompt: 2368, answer: 25, events: 5, usualBytes: 4700},
	{path: "/draft/", perSecond: 40, deadline: 15 * time.Second, prompt: 715, answer: 280, events: 56, usualBytes: 1400},
}

// slowBody is a request's body that is sent at the uplink's rate.
type slowBody struct {
	rest    *bytes.Reader
	started time.Time
	sent    int
}

func (s *slowBody) Read(p []byte) (int, error) {
	time.Sleep(time.Until(s.started.Add(time.Duration(float64(s.sent) / uplink * float64(time.Second)))))
	n, err := s.rest.Read(p[:min(len(p), uploadStep)])
	s.sent += n
	return n, err
}

// anonymousMB returns the memory of a process without that of files, in MB.
func anonymousMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb / 1024
		}
	}
	return 0
}

// watchMemory ends the daemon's process whenever it exceeds the limit, as the platform does, and starts it again.
func watchMemory(ctx context.Context, rec *record, d *daemon, ends *atomic.Int64, peak *atomic.Int64) {
	for ctx.Err() == nil {
		mb := int64(anonymousMB(d.pid()))
		if mb > peak.Load() {
			peak.Store(mb)
		}
		if mb > memoryLimitMB {
			rec.say("%s holds %d MB, limit %d MB: ended by the platform", d.name, mb, memoryLimitMB)
			d.signal(syscall.SIGKILL)
			d.kill()
			ends.Add(1)
			sleep(ctx, restartDelay)
			if ctx.Err() == nil {
				if err := d.start(); err != nil {
					rec.say("%s does not start: %v", d.name, err)
				}
			}
		}
		sleep(ctx, 20*time.Millisecond)
	}
}

// sendPrompt sends one request of a class, and reports whether its stream was complete.
func (b *bed) sendPrompt(c class, size int) bool {
	d := b.clients.pick()
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	body := &slowBody{rest: bytes.NewReader(make([]byte, size)), started: time.Now()}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.frontend+c.path+"new", io.NopCloser(body))
	if err != nil {
		return false
	}
	b.clients.mutex.Lock()
	b.clients.next++
	id := fmt.Sprintf("%016x", b.clients.next)
	b.clients.mutex.Unlock()
	r.Host, r.ContentLength = host, int64(size)
	r.Header.Set(name("attempt"), id)
	r.Header.Set(name("credential"), apiKey)
	r.Header.Set(name("deadline"), strconv.FormatInt(c.deadline.Milliseconds(), 10))
	r.Header.Set(name("model"), "m")
	r.Header.Set(name("tokens"), fmt.Sprintf("%d,%d", c.prompt, c.answer))
	r.Header.Set(name("prefix"), fmt.Sprintf("%08x:%d,%s:%d", rand.IntN(20), c.prompt/2, id[8:], c.prompt-c.prompt/2))
	b.rec.add("sent %s %s body=%d to %s", id, c.path, size, d.name)
	response, err := b.clients.http.Do(r)
	if err != nil {
		b.rec.add("answered %s none: %v", id, err)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	whole := err == nil && response.StatusCode == http.StatusOK && strings.Count(string(answer), "\n\n") == c.events
	b.rec.add("answered %s %d whole=%t", id, response.StatusCode, whole)
	return whole
}

// runMemory sends the small site's streams, at a machine's usual rate, with bodies of the allowed size.
func runMemory(rec *record, program string, trouble bool) (broken bool, err error) {
	b, err := newBed(rec, program, siteMachines)
	if err != nil {
		return false, err
	}
	defer b.close()
	b.daemons = []*daemon{b.daemons[0], b.daemons[3]}
	b.clients.daemons = b.daemons
	for _, d := range b.daemons {
		d.seeds = b.daemons[0].control + "," + b.daemons[1].control
	}
	registeredSlots = engineSlots
	if err := b.configure(promptConfig); err != nil {
		return false, err
	}
	if _, err := startGroup(rec, b.store, oldVersion, "a"); err != nil {
		return false, err
	}
	if _, err := startGroup(rec, b.store, oldVersion, "b"); err != nil {
		return false, err
	}
	if err := b.start(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.clients.balance(ctx)
	ends, peaks := make([]atomic.Int64, memoryMachines), make([]atomic.Int64, memoryMachines)
	watching := make(chan struct{})
	go func() {
		defer close(watching)
		done := make(chan struct{})
		for i, d := range b.daemons {
			go func() {
				watchMemory(ctx, rec, d, &ends[i], &peaks[i])
				done <- struct{}{}
			}()
		}
		for range b.daemons {
			<-done
		}
	}()
	var sent, whole atomic.Int64
	sending, stop := context.WithTimeout(ctx, memoryTime)
	defer stop()
	for _, c := range classes {
		size := c.usualBytes
		if trouble {
			size = maxBody
		}
		go func() {
			for {
				sleep(sending, time.Duration(rand.ExpFloat64()/(c.perSecond*memoryMachines/siteMachines)*float64(time.Second)))
				if sending.Err() != nil {
					return
				}
				b.clients.done.Go(func() {
					sent.Add(1)
					if b.sendPrompt(c, size) {
						whole.Add(1)
					}
				})
			}
		}()
	}
	<-sending.Done()
	b.clients.done.Wait()
	cancel()
	<-watching
	broken = true
	for i, d := range b.daemons {
		rec.say("%s: ended %d times, at most %d MB", d.name, ends[i].Load(), peaks[i].Load())
		broken = broken && ends[i].Load() >= endsThatCount
	}
	rec.say("%d of %d streams whole", whole.Load(), sent.Load())
	if whole.Load() == 0 {
		return false, fmt.Errorf("no stream was whole")
	}
	return broken, nil
}
