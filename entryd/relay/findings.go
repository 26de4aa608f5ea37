package relay

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"lentilstage.dev/decide/poison"
	"lentilstage.dev/decide/shift"
	"lentilstage.dev/decide/suspect"
	"lentilstage.dev/domain/value"
)

type (
	// findings is the record of what the daemons have inferred from crashes and bad answers. Each of them has it in
	// memory, and daemons that all start anew would infer it again from as many more. The holder of the lease writes it
	// when it changes; each daemon reads it once. Ages and times left count from At.
	findings struct {
		At time.Time `json:"At"`
		// Parts are the quarantined parts of prompts, Requests the quarantined requests.
		Parts    map[poison.Key]poison.QuarantineReport `json:"Parts,omitempty"`
		Requests map[suspect.Key]requestFinding         `json:"Requests,omitempty"`
		// Rollouts are the ends of roll-outs, the latest of each service.
		Rollouts map[string]rolloutFinding `json:"Rollouts,omitempty"`
	}

	// requestFinding is the quarantine of a request.
	requestFinding struct {
		Round  int   `json:"Round"`
		LeftMS int64 `json:"LeftMS"`
	}

	// rolloutFinding is the end of a roll-out. Its order is the one at Offset of the operators' records with the same
	// content: a restored log may give out the offset again.
	rolloutFinding struct {
		Order   Rollout      `json:"Order"`
		Offset  int64        `json:"Offset"`
		Verdict shift.Status `json:"Verdict"`
	}

	// findingsLog is what the holder of the lease knows of the record. Only the goroutine of leader.run uses it.
	findingsLog struct {
		// fence is the fencing number under which the record was read, end the end of its stream.
		fence int64
		end   value.Position
		// written is the record's content, sentAt when it was last sent.
		written findings
		sentAt  time.Time
	}
)

const (
	findingsKey = "findings"
	// findingsInterval is the shortest time between two appends of the record.
	findingsInterval = time.Second
	// maxFindings limits the entries of each kind; the record has some 10 KB at most.
	maxFindings = 64
)

// same reports whether both records have the same content, apart from the time that has passed.
func (f findings) same(o findings) bool {
	return maps.EqualFunc(f.Parts, o.Parts, func(a, b poison.QuarantineReport) bool { return a.Probes == b.Probes }) &&
		maps.EqualFunc(f.Requests, o.Requests, func(a, b requestFinding) bool { return a.Round == b.Round }) &&
		maps.Equal(f.Rollouts, o.Rollouts)
}

// findings returns the record of what this daemon knows.
func (t *tables) findings(now, wall time.Time) findings {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	f := findings{
		At: wall, Parts: t.poison.Own().Report(now).Quarantines,
		Requests: map[suspect.Key]requestFinding{}, Rollouts: map[string]rolloutFinding{},
	}
	for key, q := range t.suspects.Quarantines(maxFindings, now) {
		f.Requests[key] = requestFinding{Round: q.Round, LeftMS: q.Until.Sub(now).Milliseconds()}
	}
	for _, service := range slices.Sorted(maps.Keys(t.rollouts)) {
		if r := t.rollouts[service]; r.ended() && len(f.Rollouts) < maxFindings {
			f.Rollouts[service] = rolloutFinding{Order: r.order, Offset: r.position.Offset, Verdict: r.verdict}
		}
	}
	return f
}

// restoreFindings applies a record that was read from an era of the log, besides what this daemon knows.
func (t *tables) restoreFindings(f findings, era int64, now, wall time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	// The time of day may have stepped back since.
	age := max(wall.Sub(f.At), 0)
	for part, q := range f.Parts {
		q.AgeMS, q.FirstMS = q.AgeMS+age.Milliseconds(), q.FirstMS+age.Milliseconds()
		report := poison.Report{Quarantines: map[poison.Key]poison.QuarantineReport{part: q}}
		// One that is too old is out of range.
		if report.Check() == nil {
			t.updatePoison(poison.Reported{Evidence: report.Evidence(now), Now: now})
		}
	}
	for key, q := range f.Requests {
		t.suspects.Restore(key, suspect.Record{Round: q.Round, Until: now.Add(milliseconds(float64(q.LeftMS)) - age)}, now)
	}
	for service, end := range f.Rollouts {
		if len(t.rolloutEnds) >= maxFindings {
			break
		}
		t.rolloutEnds[service] = end
		if r, ok := t.rollouts[service]; ok {
			r.restoreEnd(end, era)
		}
	}
}

// restoreEnd sets the verdict of a roll-out that had ended before this daemon started.
func (r *rollout) restoreEnd(end rolloutFinding, era int64) {
	if !r.ended() && end.Order == r.order && end.Offset == r.position.Offset {
		r.setVerdict(end.Verdict, era)
	}
}

// readFindings reads the record, and returns its content and the end of its stream. The first content is taken up; what
// has changed since, daemons tell each other.
func (d *Daemon) readFindings(ctx context.Context) (findings, value.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	logger := d.logger.WithName("findings")
	var f findings
	end, err := d.leader.readNewest(ctx, Findings, findingsKey, &f)
	switch {
	case errors.Is(err, errRecordInvalid):
		logger.Info("Findings can't be decoded and count as none.", "Error", err.Error())
		f = findings{}
	case err != nil:
		logger.Info("Reading the findings failed.", "Error", err.Error())
		return findings{}, end, err
	}
	if d.findingsRead.Swap(true) {
		return f, end, nil
	}
	d.tables.restoreFindings(f, end.Era, d.clock.now(), d.clock.wallNow())
	if len(f.Parts)+len(f.Requests)+len(f.Rollouts) > 0 {
		logger.Info("Findings read.", f.fields()...)
	}
	return f, end, nil
}

// fields returns the content for a log line.
func (f findings) fields() []any {
	return []any{"Parts", len(f.Parts), "Requests", len(f.Requests), "Rollouts", len(f.Rollouts), "Written", f.At}
}

// publishFindings writes the record if its content has changed, or if a restored log may lack it. Only the holder of the
// lease calls it.
func (l *leader) publishFindings(ctx context.Context) {
	d, known := l.daemon, &l.findings
	fence, now := l.fence(), d.clock.now()
	if now.Sub(known.sentAt) < findingsInterval {
		return
	}
	if known.fence != fence || known.end.Era < d.era.Load() {
		read, end, err := d.readFindings(ctx)
		known.sentAt = now
		if err != nil {
			return
		}
		known.fence, known.end, known.written = fence, end, read
	}
	next := d.tables.findings(now, d.clock.wallNow())
	if next.same(known.written) {
		return
	}
	known.sentAt = now
	encoded, err := json.Marshal(next)
	if err != nil {
		l.log("Findings can't be encoded.", "Error", err.Error())
		return
	}
	ctx, cancel, fence := l.call(ctx)
	defer cancel()
	if fence == 0 {
		return
	}
	end, err := d.store.Append(ctx, Findings, known.end.Offset, findingsKey, encoded)
	if err != nil {
		known.fence = fenceUnread
		l.log("Writing the findings failed.", "Error", err.Error())
		return
	}
	known.end, known.written = end, next
	d.meters.count("Findings.Written")
	l.log("Findings written.", next.fields()...)
}
