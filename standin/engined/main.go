// Command engined is a stand-in for a model engine.
//
// # Usage
//
//	engined -listen 127.0.0.1:7010 -versions explain-1,explain-2
//
// It models continuous batching and a prefix cache, and generates the tokens of wire.TokenText,
// so that a client can check each answer. Every answer is streamed and is max_tokens long.
// A load order reads the weights from the store at -weights.
//
// Admin calls: /admin/faults sets the faults, /admin/behaviours makes versions fail or slow
// down, and GET /admin/counts returns the requests and tokens by version.
package main

import (
	"context"
	"flag"
	"os"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"

	"lentilstage.dev/standin/stand"
	"lentilstage.dev/wire/wire"
)

type (
	// settings are the flag values.
	settings struct {
		versions       string
		maxRunning     int
		maxQueued      int
		prefill        float64
		step           time.Duration
		stepPerRunning time.Duration
		cacheTokens    int
		loadLag        time.Duration
		eventLag       time.Duration
		eventGap       float64
		fenced         bool
		coldStart      time.Duration
		weights        string
		kvBytes        int
		kvRate         float64
	}

	service struct {
		settings settings
		// ctx ends when the process stops, and background work ends with it.
		ctx         context.Context
		batch       *batch
		cache       *cache
		loadHistory *loadHistory
		versions    *versions
		kv          *kvStore
		faults      stand.Faults[faults]
		behaviours  stand.Faults[behaviours]
	}
)

func main() {
	s := &service{}
	os.Exit(stand.Run(stand.Program{
		Name:    "engined",
		Summary: "stand-in for a model engine",
		Flags:   s.declareFlags,
		Start:   s.start,
	}, os.Args[1:], os.Stdout, os.Stderr))
}

func (s *service) declareFlags(flags *flag.FlagSet) {
	o := &s.settings
	flags.StringVar(&o.versions, "versions", "", "endpoint versions that are loaded at start, `A,B`")
	flags.IntVar(&o.maxRunning, "max-running", 16, "run at most `N` requests in a batch")
	flags.IntVar(&o.maxQueued, "max-queued", 1000, "refuse with 429 beyond `N` queued requests")
	flags.Float64Var(&o.prefill, "prefill", 20000, "compute `N` prompt tokens a second")
	flags.DurationVar(&o.step, "step", 8*time.Millisecond, "`TIME` of a step with an empty batch")
	flags.DurationVar(&o.stepPerRunning, "step-per-running", 300*time.Microsecond, "`TIME` that each running request adds to a step")
	flags.IntVar(&o.cacheTokens, "cache-tokens", 200000, "size of the prefix cache, `N` tokens")
	flags.DurationVar(&o.loadLag, "load-lag", 500*time.Millisecond, "age of a load report, `PERIOD`")
	flags.DurationVar(&o.eventLag, "event-lag", 500*time.Millisecond, "show a cache event after `PERIOD`")
	flags.Float64Var(&o.eventGap, "event-gap", 0.01, "lose a cache event with `PROBABILITY`")
	flags.BoolVar(&o.fenced, "fenced", false, "refuse an order with a fencing number below the highest seen")
	flags.DurationVar(&o.coldStart, "cold-start", 2*time.Second, "load a version in `TIME`, after its weights are read")
	flags.StringVar(&o.weights, "weights", "", "read weights from the weight store at `ADDRESS`")
	flags.IntVar(&o.kvBytes, "kv-bytes", 32, "size of an exported KV cache, `N` bytes a token")
	flags.Float64Var(&o.kvRate, "kv-rate", 50e6, "export and import KV caches at `N` bytes a second")
}

func (o settings) check() error {
	switch {
	case o.maxRunning < 1 || o.maxQueued < 0 || o.cacheTokens < 0:
		return eris.Wrap(stand.ErrUsage, "-max-running, -max-queued or -cache-tokens is too low")
	case o.prefill <= 0 || o.step <= 0 || o.stepPerRunning < 0:
		return eris.Wrap(stand.ErrUsage, "-prefill and -step must be positive and -step-per-running not negative")
	case o.loadLag < 0 || o.eventLag < 0 || o.coldStart < 0 || o.eventGap < 0 || o.eventGap > 1:
		return eris.Wrap(stand.ErrUsage, "a lag or time is negative, or -event-gap is outside 0 to 1")
	case o.kvBytes < 0 || o.kvRate <= 0:
		return eris.Wrap(stand.ErrUsage, "-kv-bytes must not be negative and -kv-rate must be positive")
	}
	return nil
}

func (s *service) start(ctx context.Context, app *fiber.App) error {
	if err := s.settings.check(); err != nil {
		return err
	}
	s.ctx = ctx
	s.cache = newCache(s.settings.cacheTokens/wire.BlockTokens, s.settings.eventLag, s.settings.eventGap)
	names := strings.FieldsFunc(s.settings.versions, func(r rune) bool { return r == ',' })
	s.versions = newVersions(s.settings, names)
	s.batch = newBatch(s.settings, s.cache, &s.faults, &s.behaviours)
	s.kv = newKVStore()
	s.loadHistory = newLoadHistory(s.settings.loadLag, s.report)
	go s.batch.run(ctx, s.waitWhileFrozen)
	go s.loadHistory.run(ctx)

	app.Use(s.blockWhileFrozen)
	app.Post("/admin/faults", func(c *fiber.Ctx) error {
		err := c.Next()
		s.faults.Update(func(f *faults) {
			if f.Silent {
				s.batch.silenceAll()
			}
			f.Silent = false
		})
		return err
	})
	s.faults.Serve(app)
	s.behaviours.ServeAt(app, "/admin/behaviours")
	app.Get("/admin/counts", func(c *fiber.Ctx) error { return c.JSON(s.batch.countsByVersion()) })
	app.Post("/v1/chat/completions", s.complete)
	app.Post("/cancel", s.cancel)
	app.Get("/load", func(c *fiber.Ctx) error { return c.JSON(s.loadHistory.visible(time.Now())) })
	app.Get("/events", func(c *fiber.Ctx) error {
		return c.JSON(s.cache.events(int64(c.QueryInt("from")), time.Now()))
	})
	app.Post("/orders", s.order)
	app.Post("/kv/export", s.exportKV)
	app.Post("/kv/import", s.importKV)
	return nil
}

func (s *service) report(now time.Time) wire.EngineLoad {
	load := s.batch.load()
	load.Time = now.UTC()
	load.CacheTokens, load.MaxCacheTokens = s.cache.size()
	load.Versions = s.versions.list()
	return load
}

func (s *service) cancel(c *fiber.Ctx) error {
	order, err := stand.Body[wire.CancelRequest](c)
	if err != nil {
		return err
	}
	if !s.batch.end(order.AttemptID, endCancelled) {
		return fiber.ErrNotFound
	}
	return c.SendStatus(fiber.StatusNoContent)
}
