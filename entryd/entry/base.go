// Package entry implements the entry daemon.
//
// The daemon stands between callers and endpoints. Its parts share one Base, which holds
// their dependencies (clock, random source, log, instance list) as function fields. Each part
// owns the state that its file declares:
//
//   - control: the table state, folded from the Control stream, and whether it is current
//   - members: the other daemons, the instance list and the digests
//   - endpoints: the engines and plain services with their load and health
//   - limits, retries: admission by account, and the retry budget
//   - rollouts, loader: version moves, and the orders to load versions
//   - crashes: the attribution of crashes to requests or versions
//   - requests, ownedRequest, outbox: the model requests of this daemon and their updates
//   - holder, locator: the copies held for other daemons, and locating a request
//   - Claims: the unrepeatable calls
//   - fleetWorker: the plan of instances and the orders to start and end them
//   - server: the HTTP server for callers and operators
//
// Locks are acquired in this order: crashes.placementMu, requests, ownedRequest, holder,
// outbox, control, members, endpoints, limits, rollouts, crashes, claim shards, Claims,
// events. No lock is held across I/O.
//
// # Usage
//
//	daemon, err := entry.New(settings, entry.WithLogger(logger))
//	err = daemon.Run(ctx)
//
// Run drains the daemon when the context ends and returns after the shutdown.
package entry

import (
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/entryd/clock"
	"lentilstage.dev/wire/answer"
	"lentilstage.dev/wire/client"
	"lentilstage.dev/wire/wire"
)

type (
	// Base holds the settings and dependencies that all parts of a daemon share.
	Base struct {
		Settings    Settings
		Incarnation ident.Incarnation
		Logger      logr.Logger
		Events      *event.Buffer
		Counters    *counters

		// Now is the clock. LeaseNow is the clock of the serving lease, which goes on while the instance
		// is suspended. Random returns numbers in [0, 1).
		Now      func() time.Time
		LeaseNow func() time.Time
		Random   func() float64

		// ReadLog, AppendLog and LogInfo call the platform's log.
		ReadLog   func(deadline time.Time, stream string, from int64, limit int, wait time.Duration) (wire.LogPage, error)
		AppendLog func(deadline time.Time, stream string, records []wire.LogPayload) (int64, error)
		LogInfo   func(deadline time.Time) (wire.LogInfo, error)
		// ListInstances reads the instance list, ReadNotices the cloud's reclaim notices.
		ListInstances func(deadline time.Time) (wire.InstanceList, error)
		ReadNotices   func(deadline time.Time, from int64) (wire.Notices, error)
	}

	// Option configures the Base of a new daemon.
	Option func(*Base)
)

// WithLogger sets the daemon's logger.
func WithLogger(logger logr.Logger) Option {
	return func(b *Base) { b.Logger = logger }
}

// WithClock sets the daemon's clock.
func WithClock(now func() time.Time) Option {
	return func(b *Base) { b.Now, b.LeaseNow = now, now }
}

func newBase(settings Settings, options []Option) *Base {
	settings = settings.WithDefaults()
	log := client.Log{Address: settings.Log}
	list := client.InstanceList{Address: settings.List}
	cloud := client.Cloud{Address: settings.Cloud}
	b := &Base{
		Settings:      settings,
		Incarnation:   ident.NewIncarnation(),
		Logger:        logr.Discard(),
		Events:        event.NewBuffer(settings.Events),
		Counters:      newCounters(),
		Now:           time.Now,
		LeaseNow:      clock.Boot,
		Random:        rand.Float64,
		ReadLog:       log.Read,
		AppendLog:     log.Append,
		LogInfo:       log.Info,
		ListInstances: list.Instances,
		ReadNotices:   cloud.Notices,
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// recordRejected counts and logs an endpoint's answer that is not whole and well-formed. It ignores other errors.
func (b *Base) recordRejected(endpoint string, err error) {
	reason := answer.ReasonOf(err)
	if reason == answer.Accepted {
		return
	}
	b.Counters.countRejected(reason)
	b.Logger.WithName("answers").Info("Answer rejected.", "endpoint", endpoint, "reason", reason, "error", err.Error())
}

// emit records an event of this process on the timeline.
func (b *Base) emit(e event.Event) {
	e.Time = b.Now()
	e.Process = b.Settings.Name
	b.Events.Add(e)
}
