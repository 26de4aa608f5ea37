package itest

import (
	"context"
	"sync"
	"testing"
	"time"

	"lentilstage.dev/decide/cases"
	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/standin/stand"
	"lentilstage.dev/wire/wire"
)

// hostileFields are the header fields of each hostile request: those of a client account of the table.
const hostileFields = "Host: test.example\r\nAuthorization: Bearer " + counterKey + "\r\nContent-Type: application/json\r\n"

// hostileSettings are the limits of a small instance, so that a few hundred callers exceed them.
const hostileSettings = "MemoryMB: 144\nMaxDescriptors: 512\nMaxHeldMiB: 16\n"

// answerTimeout limits the wait for an ordinary request's answer after a crowd has left.
const answerTimeout = 25 * time.Second

// TestHostileServeWholeBodies guards against a process that exceeds its memory because many callers send bodies of
// the allowed size in one piece and stop just short of their end.
func TestHostileServeWholeBodies(t *testing.T) { runHostile(t, "whole_bodies") }

// TestHostileServePiecedBodies guards against the same with bodies that arrive in small pieces.
func TestHostileServePiecedBodies(t *testing.T) { runHostile(t, "pieced_bodies") }

// TestHostileServeChunkedBodies guards against the same with chunked bodies, whose length no header states.
func TestHostileServeChunkedBodies(t *testing.T) { runHostile(t, "chunked_bodies") }

// TestHostileServeOversizedBodies guards against a process that holds or reads on bodies far over the limit.
func TestHostileServeOversizedBodies(t *testing.T) { runHostile(t, "oversized_bodies") }

// TestHostileServeHeaderFields guards against a process that exceeds its memory because heads consist of very many
// short fields, each of which costs far more than its bytes.
func TestHostileServeHeaderFields(t *testing.T) { runHostile(t, "header_fields") }

// TestHostileServePipelines guards against a process that holds without bound what callers send ahead while they read
// no responses.
func TestHostileServePipelines(t *testing.T) { runHostile(t, "pipelines") }

// TestHostileServeSlowSenders guards against a process that runs out of descriptors because many callers send
// a few bytes a second.
func TestHostileServeSlowSenders(t *testing.T) { runHostile(t, "slow_senders") }

// TestHostileServeSlowReaders guards against a process that runs out of descriptors or memory because many callers
// hardly read their responses.
func TestHostileServeSlowReaders(t *testing.T) { runHostile(t, "slow_readers") }

// TestHostileServeStops guards against a process that runs out of descriptors because many callers stop
// midway in a head, a body or a peer's handshake, or after a request.
func TestHostileServeStops(t *testing.T) { runHostile(t, "stops") }

// runHostile runs the cases of a kind, each against a process of its own. The tests use no time
// measurements and no share of served requests as criteria, and run one after the other.
func runHostile(t *testing.T, kind string) {
	for _, h := range cases.Load[stand.Hostile](t, "testdata/hostile/"+kind+".yaml") {
		t.Run(h.Name, func(t *testing.T) { runHostileCase(t, h) })
	}
}

func runHostileCase(t *testing.T, h stand.Hostile) {
	c := newCluster(t, clusterConfig{daemons: 2, engines: 1, apps: 1, daemonSettings: hostileSettings})
	d := c.daemons[0]
	order := func() bool {
		result := &orderResult{refusals: make(map[codes.Code]int)}
		placeOrder(d.address(), ident.NewKey(), result)
		return result.answered == 1
	}
	waitFor(t, answerTimeout, "an ordinary request to be answered before the crowd", order)
	if err := d.LimitDescriptors(h.Descriptors); err != nil {
		t.Fatal(err)
	}
	addresses := map[string]string{"Callers": d.ports[0], "Peers": d.ports[1]}
	fields := hostileFields + wire.HeaderIdempotencyKey + ": " + ident.NewKey() + "\r\n"
	ctx, stop := context.WithTimeout(context.Background(), stand.HostileTime)
	defer stop()
	var crowd sync.WaitGroup
	crowd.Go(func() { h.Attack(ctx, addresses[h.Address], fields) })
	peak := d.PeakUsage(ctx, d.ports)
	crowd.Wait()
	t.Logf("peak: %+v", peak)
	for _, violation := range h.Violations(peak) {
		t.Error(violation)
	}
	select {
	case <-d.Exited():
		t.Fatalf("the process has exited with code %d", d.ExitCode())
	default:
	}
	waitFor(t, answerTimeout, "an ordinary request to be answered after the crowd has left", order)
}
