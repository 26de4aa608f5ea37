package relay

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilstage.dev/decide/choice"
	"lentilstage.dev/decide/poison"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/domain/setup"
)

const (
	// maxPoisonChanges limits the changes that wait for the log. Those beyond it count as dropped lines.
	maxPoisonChanges = 64
	// answeringTime is how long a stream must have gone on to show that its parts don't crash the endpoint. An endpoint
	// that crashes as it begins to write may have sent some events by then. Waiting for the end of long streams would
	// leave sound parts under suspicion.
	answeringTime = 500 * time.Millisecond
)

// partKeys returns the keys of the parts of a prompt that other requests may have too.
func partKeys(parts []choice.Part) []poison.Key {
	if len(parts) < 2 {
		return nil
	}
	keys := make([]poison.Key, len(parts)-1)
	for i := range keys {
		keys[i] = poison.Key(xxhash.Sum64String(parts[i].ID))
	}
	return keys
}

// startKey identifies one start of an endpoint.
func startKey(e setup.Endpoint) poison.Key {
	return poison.Key(xxhash.Sum64String(e.ID + "/" + strconv.FormatInt(e.StartedAtMS, 10)))
}

// updatePoison applies a message and keeps the commands for the log. The caller holds the lock.
func (t *tables) updatePoison(m poison.Message) {
	var commands []poison.Command
	t.poison, commands = t.poison.Update(m)
	room := min(len(commands), maxPoisonChanges-len(t.poisonChanges))
	t.poisonChanges = append(t.poisonChanges, commands[:room]...)
	droppedLines.Add(int64(len(commands) - room))
}

// recordParts records what an attempt that has ended says about the parts of its prompt.
func (a *attempt) recordParts(result outcome, now time.Time) {
	if len(a.x.parts) > 0 && result == broken && !a.answering {
		a.x.daemon.tables.recordCrash(a.x.parts, a.endpoint, now)
	}
}

// recordAnswering records, once, that the endpoint has sent more than the begin of its response: events for
// answeringTime, or all.
func (a *attempt) recordAnswering(now time.Time) {
	if len(a.x.parts) > 0 && !a.answering {
		a.answering = true
		a.x.daemon.tables.recordAnswering(a.x.parts, a.endpoint, a.sentAt, now)
	}
}

// recordCrash records that an endpoint broke off an attempt while it began its response.
func (t *tables) recordCrash(parts []poison.Key, endpoint setup.Endpoint, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.updatePoison(poison.Crashed{Parts: parts, Endpoint: startKey(endpoint), At: now})
}

// recordAnswering records that an endpoint answers an attempt.
func (t *tables) recordAnswering(parts []poison.Key, endpoint setup.Endpoint, sentAt, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.updatePoison(poison.Answered{Parts: parts, Endpoint: startKey(endpoint), SentAt: sentAt, At: now})
}

// judgeParts decides on a request by the parts of its prompt.
func (t *tables) judgeParts(parts []poison.Key, now time.Time) poison.Verdict {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.poison.Judge(parts, now)
}

// takeProbe reports whether the request may test a quarantined part, and counts it.
func (t *tables) takeProbe(parts []poison.Key, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	v := t.poison.Judge(parts, now)
	if v.ProbeDue {
		t.updatePoison(poison.Probed{Part: v.Part, At: now})
	}
	return v.ProbeDue
}

// poisonReport returns the report of this daemon and of peers that have recently sent theirs. The caller
// holds the lock.
func (t *tables) poisonReport(now time.Time, groups ...map[string]peerState) *poison.Report {
	var heard []poison.Evidence
	for _, peers := range groups {
		for _, p := range peers {
			if now.Sub(p.receivedAt) <= loadTTL {
				heard = append(heard, p.poison)
			}
		}
	}
	if r := t.poison.Own().Merge(heard...).Report(now); !r.Empty() {
		return &r
	}
	return nil
}

// applyPoison applies the report in a message and returns its content. The caller holds the lock.
func (t *tables) applyPoison(m message, now time.Time) poison.Evidence {
	if m.Poison == nil {
		return poison.Evidence{}
	}
	evidence := m.Poison.Evidence(now)
	t.updatePoison(poison.Reported{Evidence: evidence, Now: now})
	return evidence
}

// drainPoisonChanges returns the changes since the last call.
func (t *tables) drainPoisonChanges() []poison.Command {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	changes := t.poisonChanges
	t.poisonChanges = nil
	return changes
}

// logPoison logs which parts of prompts are suspected, quarantined and cleared, and what led to it.
func (d *Daemon) logPoison() {
	logger := d.logger.WithName("poison")
	for _, c := range d.tables.drainPoisonChanges() {
		switch c := c.(type) {
		case poison.Suspect:
			logger.Info("Prompt part suspected.", "Part", partText(c.Part), "Crashes", c.Crashes, "Depth", c.Depth)
		case poison.Quarantine:
			d.meters.count("Parts.Quarantined")
			logger.Info("Prompt part quarantined.", "Part", partText(c.Part), "Crashes", c.Crashes, "Depth", c.Depth)
		case poison.Clear:
			logger.Info("Prompt part cleared.", "Part", partText(c.Part), "Crashes", c.Crashes, "Quarantined", c.Quarantined)
		}
	}
}

// partText returns a key as log lines show it.
func partText(part poison.Key) string { return fmt.Sprintf("%016x", uint64(part)) }

// mayProbe reports whether this daemon tests a quarantined part: all daemons agree on one of those they
// know, so that not every daemon sends a request that may crash an endpoint.
func (d *Daemon) mayProbe(part poison.Key) bool {
	names := []string{d.settings.Name}
	for _, r := range d.members.all() {
		names = append(names, r.Name)
	}
	return ident.RendezvousOrder(partText(part), names)[0] == d.settings.Name
}

// partRejected reports whether the request has a part that crashes endpoints.
func (x *exchange) partRejected() (poison.Verdict, bool) {
	if len(x.parts) == 0 {
		return poison.Verdict{}, false
	}
	v := x.daemon.tables.judgeParts(x.parts, x.daemon.clock.now())
	return v, v.Rejected
}

// partFields returns the log fields of a part of the request's prompt: its key, as in the lines about parts,
// and its identifier, as in the lines of broken attempts.
func (x *exchange) partFields(part poison.Key) []any {
	name := ""
	if i := slices.Index(x.parts, part); i >= 0 {
		name = x.call.Parts[i].ID
	}
	return []any{"Part", partText(part), "Name", name}
}

// refusePoisoned refuses a request with a part that crashes endpoints and reports whether it did.
func (x *exchange) refusePoisoned() bool {
	d := x.daemon
	v, rejected := x.partRejected()
	if !rejected {
		return false
	}
	if v.ProbeDue && d.mayProbe(v.Part) && d.tables.takeProbe(x.parts, d.clock.now()) {
		d.meters.count("Parts.Probes")
		x.log("Testing quarantined part.", x.partFields(v.Part)...)
		return false
	}
	d.meters.count("Requests.PartQuarantined")
	x.refuse(http.StatusServiceUnavailable, "PartQuarantined", v.RetryAt, x.partFields(v.Part)...)
	return true
}
