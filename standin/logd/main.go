// Command logd is a stand-in for the platform's append-only log service.
//
// # Usage
//
//	logd -listen 127.0.0.1:7001 -retention 1h -appends-per-second 400
//
// Records are kept in memory and are lost when the process ends.
package main

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"

	"lentilstage.dev/standin/stand"
	"lentilstage.dev/wire/wire"
)

type (
	// faults lists the faults that a test can inject into the log. Down, ReadDown and AppendDown
	// refuse calls with 503.
	faults struct {
		Down       bool `json:"Down"`
		ReadDown   bool `json:"ReadDown"`
		AppendDown bool `json:"AppendDown"`
		// LoseAnswers closes the connection after the records are appended.
		LoseAnswers stand.Trigger `json:"LoseAnswers"`
		// DelayMilliseconds delays each call before it takes effect.
		DelayMilliseconds int `json:"DelayMilliseconds"`
	}

	service struct {
		retention        time.Duration
		appendsPerSecond float64
		store            *store
		faults           stand.Faults[faults]
	}
)

const (
	// defaultPage and maxPage are the default and the largest number of records in one read.
	defaultPage = 1000
	maxPage     = 10000
	// maxWait limits a long poll.
	maxWait = 30 * time.Second
)

func main() {
	s := &service{}
	os.Exit(stand.Run(stand.Program{
		Name:    "logd",
		Summary: "stand-in for the append-only log service",
		Flags:   s.declareFlags,
		Start:   s.start,
	}, os.Args[1:], os.Stdout, os.Stderr))
}

func (s *service) declareFlags(flags *flag.FlagSet) {
	flags.DurationVar(&s.retention, "retention", 24*time.Hour, "keep records for `PERIOD`")
	flags.Float64Var(&s.appendsPerSecond, "appends-per-second", 400, "accept at most `N` append calls a second; 0 means no limit")
}

func (s *service) start(_ context.Context, app *fiber.App) error {
	if s.retention <= 0 || s.appendsPerSecond < 0 {
		return eris.Wrap(stand.ErrUsage, "-retention must be positive and -appends-per-second not negative")
	}
	s.store = newStore(s.retention, s.appendsPerSecond)
	s.faults.Serve(app)
	app.Get("/info", s.info)
	app.Post("/streams/:stream/records", s.append)
	app.Get("/streams/:stream/records", s.read)
	return nil
}

func (s *service) info(c *fiber.Ctx) error {
	f := s.faults.Get()
	stand.SleepMilliseconds(f.DelayMilliseconds)
	if f.Down || f.ReadDown {
		return fiber.ErrServiceUnavailable
	}
	return c.JSON(wire.LogInfo{RetentionSeconds: s.retention.Seconds()})
}

func (s *service) append(c *fiber.Ctx) error {
	f := s.faults.Get()
	stand.SleepMilliseconds(f.DelayMilliseconds)
	if f.Down || f.AppendDown {
		return fiber.ErrServiceUnavailable
	}
	request, err := stand.Body[wire.LogAppend](c)
	if err != nil {
		return err
	}
	first, accepted := s.store.append(c.Params("stream"), request.Records, time.Now())
	if !accepted {
		c.Set(fiber.HeaderRetryAfter, "1")
		return fiber.ErrTooManyRequests
	}
	if s.faults.Hit(func(f *faults) *stand.Trigger { return &f.LoseAnswers }) {
		return stand.CloseWithoutAnswer(c)
	}
	return c.JSON(wire.LogAppendReply{First: first})
}

func (s *service) read(c *fiber.Ctx) error {
	f := s.faults.Get()
	stand.SleepMilliseconds(f.DelayMilliseconds)
	if f.Down || f.ReadDown {
		return fiber.ErrServiceUnavailable
	}
	from, limit, wait := c.QueryInt("from"), c.QueryInt("max", defaultPage), c.QueryInt("wait")
	if from < 0 || limit <= 0 || wait < 0 {
		return fiber.NewError(fiber.StatusBadRequest, "from, max or wait is out of range")
	}
	deadline := time.Now().Add(min(time.Duration(wait)*time.Millisecond, maxWait))
	page := s.store.read(c.Params("stream"), int64(from), min(limit, maxPage), deadline)
	// A read that was waiting when the log went down fails too.
	if f := s.faults.Get(); f.Down || f.ReadDown {
		return fiber.ErrServiceUnavailable
	}
	return c.JSON(page)
}
