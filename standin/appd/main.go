// Command appd is a stand-in for a plain service such as order placement or licence activation.
//
// # Usage
//
//	appd -listen 127.0.0.1:7005 -fenced
//
// It executes each POST /orders, even with a key that was seen before, so that
// GET /admin/executions shows every call that ran twice.
package main

import (
	"context"
	"flag"
	"os"
	"strconv"

	"github.com/gofiber/fiber/v2"

	"lentilstage.dev/standin/stand"
	"lentilstage.dev/wire/wire"
)

type (
	// faults lists the faults that a test can inject into the service.
	faults struct {
		// LoseAnswers closes the connection after an order is executed.
		LoseAnswers stand.Trigger `json:"LoseAnswers"`
		// FailBefore answers an order with 503 and does not execute it.
		FailBefore stand.Trigger `json:"FailBefore"`
		// DelayMilliseconds delays each call before it takes effect.
		DelayMilliseconds int `json:"DelayMilliseconds"`
	}

	service struct {
		fenced     bool
		orderStore *orderStore
		faults     stand.Faults[faults]
	}
)

func main() {
	s := &service{orderStore: newOrderStore()}
	os.Exit(stand.Run(stand.Program{
		Name:    "appd",
		Summary: "stand-in for a plain service with unrepeatable orders",
		Flags:   s.declareFlags,
		Start:   s.start,
	}, os.Args[1:], os.Stdout, os.Stderr))
}

func (s *service) declareFlags(flags *flag.FlagSet) {
	flags.BoolVar(&s.fenced, "fenced", false, "refuse a Fencing-Number below the highest seen for the key")
}

func (s *service) start(_ context.Context, app *fiber.App) error {
	s.faults.Serve(app)
	app.Post("/orders", s.place)
	app.Get("/orders/:key", s.status)
	app.Get("/admin/executions", func(c *fiber.Ctx) error { return c.JSON(s.orderStore.executions()) })
	return nil
}

func (s *service) place(c *fiber.Ctx) error {
	stand.SleepMilliseconds(s.faults.Get().DelayMilliseconds)
	key := c.Get(wire.HeaderIdempotencyKey)
	if key == "" {
		return fiber.NewError(fiber.StatusBadRequest, wire.HeaderIdempotencyKey+" is missing")
	}
	var fencingNumber int64
	if text := c.Get(wire.HeaderFencingNumber); text != "" {
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fiber.NewError(fiber.StatusBadRequest, wire.HeaderFencingNumber+" is not a number")
		}
		fencingNumber = number
	}
	if s.faults.Hit(func(f *faults) *stand.Trigger { return &f.FailBefore }) {
		return fiber.ErrServiceUnavailable
	}
	placed, accepted := s.orderStore.place(key, fencingNumber, s.fenced, c.Body())
	if !accepted {
		return fiber.NewError(fiber.StatusConflict, wire.HeaderFencingNumber+" is below the highest seen for this key")
	}
	if s.faults.Hit(func(f *faults) *stand.Trigger { return &f.LoseAnswers }) {
		return stand.CloseWithoutAnswer(c)
	}
	return c.Status(fiber.StatusCreated).JSON(placed)
}

func (s *service) status(c *fiber.Ctx) error {
	stand.SleepMilliseconds(s.faults.Get().DelayMilliseconds)
	placed, found := s.orderStore.status(c.Params("key"))
	if !found {
		return fiber.ErrNotFound
	}
	return c.JSON(placed)
}
