package relay

import (
	"context"
	"errors"
	"time"
)

type (
	// follower reads a stream from its newest records on and gives each record to take.
	follower struct {
		daemon *Daemon
		stream Stream
		// wait is how long a read waits for a record, pace the least time between two reads.
		wait time.Duration
		pace time.Duration
		// take takes in one record; listed, if set, the identifiers of a full read.
		take   func(Record)
		listed func(end int64, keys []string)
		state  func(up bool)
		// passOn, if set, gives the records from one offset up to another to those that follow.
		passOn func(from, next int64, records []Record)

		// wanted, if set, says that something newer than what was read is known to be there.
		wanted func() bool

		next   int64
		synced bool
		up     bool
	}
)

const (
	// operatorWait bounds a read of the operators' stream. A connection that has gone silent
	// must show soon enough for a change to be in force within its bound.
	operatorWait = 800 * time.Millisecond
	// endpointWait and endpointPace are those of the endpoints' stream, whose records come all
	// the time: the pace bounds the priced reads, and the time until a leaving endpoint shows.
	endpointWait = 1000 * time.Millisecond
	endpointPace = 700 * time.Millisecond
	// readSlack is the time that an answer may take beyond its wait.
	readSlack = 900 * time.Millisecond
	// idlePause is the pause of a daemon whose hub reads for it.
	idlePause = 50 * time.Millisecond
	// retryPause follows a failed read of a hub, or of a daemon that has read nothing yet. Others rely
	// on their hub's next read and try less often, since failed calls are priced like others: with 68
	// daemons an outage of 6 s cost 2,100 calls.
	retryPause         = 300 * time.Millisecond
	followerRetryPause = 1200 * time.Millisecond
)

// watchOperators follows the configuration.
func (d *Daemon) watchOperators(ctx context.Context) error {
	f := &follower{
		daemon: d, stream: Operators, wait: operatorWait, take: d.takeOperator,
		state:  func(up bool) { d.storeLost.Store(!up) },
		passOn: d.gossip.sendOperators,
		wanted: func() bool {
			config := d.tables.current()
			return config != nil && d.feed.lacks(config.Version, d.clock.now())
		},
	}
	return f.run(ctx)
}

// watchEndpoints follows the endpoints' registrations.
func (d *Daemon) watchEndpoints(ctx context.Context) error {
	f := &follower{
		daemon: d, stream: Endpoints, wait: endpointWait, pace: endpointPace, take: d.takeEndpoint,
		listed: func(end int64, keys []string) { d.changed(d.tables.complete(end, keys, d.clock.now())) },
		state:  d.endpointsUp,
	}
	return f.run(ctx)
}

// endpointsUp notes whether the endpoints can be read.
func (d *Daemon) endpointsUp(up bool) {
	now := d.clock.now()
	d.changed(d.tables.storeState(up, now, func(since time.Time) bool { return d.feed.upElsewhere(since, now) }))
}

func (f *follower) run(ctx context.Context) error {
	for ctx.Err() == nil {
		started := f.daemon.clock.now()
		wait := f.wait
		if !f.needed(started) {
			if f.wanted == nil || !f.wanted() {
				pause(ctx, idlePause)
				continue
			}
			wait = 0
		}
		err := f.step(ctx, wait)
		if ctx.Err() != nil {
			break
		}
		f.tell(err)
		if err != nil {
			pause(ctx, time.Duration(float64(f.retryPause())*(0.75+f.daemon.random()/2)))
			continue
		}
		if left := f.pace - f.daemon.clock.now().Sub(started); left > 0 {
			pause(ctx, left)
		}
	}
	return nil
}

// needed reports whether this daemon reads the stream itself.
func (f *follower) needed(now time.Time) bool {
	d := f.daemon
	hub, own := d.members.follow(now)
	if own || !f.synced || hub.DataCentre != d.settings.DataCentre {
		// A hub of another data centre is followed only while no own one can read the log.
		return true
	}
	return !d.feed.fresh(f.stream, now)
}

// retryPause returns the pause after a failed read.
func (f *follower) retryPause() time.Duration {
	if _, own := f.daemon.members.follow(f.daemon.clock.now()); own || !f.synced {
		return retryPause
	}
	return followerRetryPause
}

// step makes one read: of everything, or of what is new.
func (f *follower) step(ctx context.Context, wait time.Duration) error {
	if !f.synced {
		return f.sync(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	f.next = f.daemon.feed.next(f.stream, f.next)
	page, err := f.daemon.store.Read(ctx, f.stream, f.next, wait)
	if errors.Is(err, ErrTrimmed) {
		f.daemon.logger.WithName("store").Info("History is gone; reading anew.", "Stream", f.stream, "From", f.next)
		f.synced = false
		return f.sync(ctx)
	}
	if err != nil {
		return err
	}
	from := f.next
	for _, r := range page.Records {
		f.take(r)
		f.next = max(f.next, r.Offset+1)
	}
	if f.passOn != nil {
		f.passOn(from, f.next, page.Records)
	}
	f.daemon.feed.read(f.stream, f.next, f.daemon.clock.now())
	return nil
}

func (f *follower) sync(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.wait+readSlack)
	defer cancel()
	page, err := f.daemon.store.Newest(ctx, f.stream)
	if err != nil {
		return err
	}
	keys := make([]string, 0, len(page.Records))
	for _, r := range page.Records {
		f.take(r)
		keys = append(keys, r.Key)
	}
	if f.listed != nil {
		f.listed(page.End, keys)
	}
	// A page may be older than what was read before; the position never goes back.
	f.next = max(f.next, page.End)
	f.synced = true
	f.daemon.feed.read(f.stream, f.next, f.daemon.clock.now())
	return nil
}

// tell passes on whether the log answers, and writes a line when that changes.
func (f *follower) tell(err error) {
	up := err == nil
	if f.state != nil {
		f.state(up)
	}
	if up == f.up {
		return
	}
	f.up = up
	if up {
		f.daemon.logger.WithName("store").Info("Reachable.", "Stream", f.stream, "Next", f.next)
		return
	}
	f.daemon.meters.count("Store.Lost")
	f.daemon.logger.WithName("store").Info("Not reachable.", "Stream", f.stream, "Next", f.next, "Error", err.Error())
}

// takeOperator takes in a record of the operators.
func (d *Daemon) takeOperator(r Record) {
	if r.Value == nil {
		return
	}
	config, err := d.codec.Config(r)
	if errors.Is(err, ErrOtherRecord) {
		d.takeRollout(r)
		return
	}
	if err != nil {
		d.logger.WithName("config").Info("Record can't be used.", "Key", r.Key, "Offset", r.Offset, "Error", err.Error())
		return
	}
	if d.tables.configure(config, r, d.clock.now()) {
		d.meters.gauge("Config.Version", config.Version)
		d.logger.WithName("config").Info("In force.", "Version", config.Version, "Offset", r.Offset,
			"Routes", len(config.Routes), "Accounts", len(config.Accounts))
	}
}

// takeEndpoint takes in a record of an endpoint.
func (d *Daemon) takeEndpoint(r Record) {
	now := d.clock.now()
	if r.Value == nil {
		d.changed(d.tables.drop(r, now))
		return
	}
	endpoint, err := d.codec.Endpoint(r, now)
	if err != nil {
		d.logger.WithName("endpoints").Info("Record can't be used.", "Key", r.Key, "Offset", r.Offset, "Error", err.Error())
		d.changed(d.tables.drop(r, now))
		return
	}
	d.changed(d.tables.put(r, endpoint, now))
}
