// Command cloudd is a stand-in for the cloud API.
//
// # Usage
//
//	cloudd -listen 127.0.0.1:7003 -start-time 2s
//
// It keeps instances, prices and reclaim notices. It runs no processes: a test runs
// the process of an instance itself and adds the instance by POST /admin/instances. With the
// Id of a started instance, this replaces the instance and so sets its address. Prices are set by
// POST /admin/prices and reclaims are announced by POST /admin/reclaim. GET /admin/bill
// returns the cost of the instances.
package main

import (
	"context"
	"flag"
	"os"
	"slices"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"

	"lentilstage.dev/standin/stand"
	"lentilstage.dev/wire/wire"
)

type (
	// faults lists the faults that a test can inject into the cloud API.
	faults struct {
		// RefuseStarts refuses start orders with 503, everywhere or in the listed data
		// centres. A repeat of an accepted order is still answered.
		RefuseStarts      bool     `json:"RefuseStarts"`
		RefuseDataCentres []string `json:"RefuseDataCentres"`
		// LoseAnswers closes the connection after an instance is started or ended.
		LoseAnswers stand.Trigger `json:"LoseAnswers"`
		// Down refuses each call with 503.
		Down bool `json:"Down"`
		// DelayMilliseconds delays each call before it takes effect.
		DelayMilliseconds int `json:"DelayMilliseconds"`
	}

	// reclaim is a request to reclaim one instance, or all reclaimable instances of a data
	// centre.
	reclaim struct {
		Instance           string `json:"Instance"`
		DataCentre         string `json:"DataCentre"`
		NoticeMilliseconds int    `json:"NoticeMilliseconds"`
	}

	service struct {
		startDelay time.Duration
		cloud      *cloud
		faults     stand.Faults[faults]
	}
)

func main() {
	s := &service{}
	os.Exit(stand.Run(stand.Program{
		Name:    "cloudd",
		Summary: "stand-in for the cloud API",
		Flags:   s.declareFlags,
		Start:   s.start,
	}, os.Args[1:], os.Stdout, os.Stderr))
}

func (s *service) declareFlags(flags *flag.FlagSet) {
	flags.DurationVar(&s.startDelay, "start-time", 2*time.Second, "a started instance is live after `PERIOD`")
}

func (s *service) start(_ context.Context, app *fiber.App) error {
	if s.startDelay < 0 {
		return eris.Wrap(stand.ErrUsage, "-start-time must not be negative")
	}
	s.cloud = newCloud(s.startDelay)
	s.faults.Serve(app)
	app.Post("/admin/instances", s.put)
	app.Post("/admin/prices", s.setPrices)
	app.Post("/admin/reclaim", s.reclaim)
	app.Get("/admin/bill", func(c *fiber.Ctx) error { return c.JSON(s.cloud.bill(time.Now())) })
	app.Use(s.applyFaults)
	app.Post("/instances", s.startInstance)
	app.Post("/instances/:id/end", s.endInstance)
	app.Get("/instances", func(c *fiber.Ctx) error { return c.JSON(s.cloud.list(time.Now())) })
	app.Get("/prices", func(c *fiber.Ctx) error { return c.JSON(s.cloud.currentPrices()) })
	app.Get("/notices", func(c *fiber.Ctx) error { return c.JSON(s.cloud.noticesFrom(int64(c.QueryInt("from")))) })
	return nil
}

func (s *service) applyFaults(c *fiber.Ctx) error {
	f := s.faults.Get()
	stand.SleepMilliseconds(f.DelayMilliseconds)
	if f.Down {
		return fiber.ErrServiceUnavailable
	}
	return c.Next()
}

func (s *service) startInstance(c *fiber.Ctx) error {
	order, err := stand.Body[wire.StartOrder](c)
	if err != nil {
		return err
	}
	f := s.faults.Get()
	refused := f.RefuseStarts || slices.Contains(f.RefuseDataCentres, order.DataCentre)
	instance, started := s.cloud.start(order, refused, time.Now())
	if !started {
		return fiber.NewError(fiber.StatusServiceUnavailable, "no capacity in data centre "+order.DataCentre)
	}
	return s.answer(c, instance)
}

func (s *service) endInstance(c *fiber.Ctx) error {
	instance, found := s.cloud.end(c.Params("id"), time.Now())
	if !found {
		return fiber.ErrNotFound
	}
	return s.answer(c, instance)
}

func (s *service) answer(c *fiber.Ctx, instance wire.Instance) error {
	if s.faults.Hit(func(f *faults) *stand.Trigger { return &f.LoseAnswers }) {
		return stand.CloseWithoutAnswer(c)
	}
	return c.JSON(instance)
}

func (s *service) put(c *fiber.Ctx) error {
	instance, err := stand.DecodeStrict[wire.Instance](c.Body())
	if err != nil || instance.ID == "" {
		return fiber.NewError(fiber.StatusBadRequest, "not an instance with an Id")
	}
	s.cloud.put(instance, time.Now())
	return c.SendStatus(fiber.StatusNoContent)
}

func (s *service) setPrices(c *fiber.Ctx) error {
	prices, err := stand.DecodeStrict[wire.Prices](c.Body())
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	s.cloud.setPrices(prices)
	return c.SendStatus(fiber.StatusNoContent)
}

// reclaim answers with the identifiers of the reclaimed instances.
func (s *service) reclaim(c *fiber.Ctx) error {
	order, err := stand.DecodeStrict[reclaim](c.Body())
	if err != nil || (order.Instance == "") == (order.DataCentre == "") || order.NoticeMilliseconds < 0 {
		return fiber.NewError(fiber.StatusBadRequest, "a reclaim needs either Instance or DataCentre, and NoticeMilliseconds")
	}
	now := time.Now()
	deadline := now.Add(time.Duration(order.NoticeMilliseconds) * time.Millisecond)
	return c.JSON(s.cloud.reclaim(order, now, deadline))
}
