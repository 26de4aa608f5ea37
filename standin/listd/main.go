// Command listd is a stand-in for the platform's instance list.
//
// # Usage
//
//	listd -listen 127.0.0.1:7002 -lag 1s
//
// Tests change the list by POST /admin/instances and DELETE /admin/instances/{id}. Readers
// of GET /instances see the changes after the lag.
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
	// faults lists the faults that a test can inject into the list.
	faults struct {
		// Down refuses each read with 503.
		Down bool `json:"Down"`
		// DelayMilliseconds delays each read.
		DelayMilliseconds int `json:"DelayMilliseconds"`
	}

	service struct {
		lag time.Duration
		// cloud is the cloud API's address, or empty if there is none.
		cloud        string
		instanceList *instanceList
		faults       stand.Faults[faults]
	}
)

func main() {
	s := &service{}
	os.Exit(stand.Run(stand.Program{
		Name:    "listd",
		Summary: "stand-in for the instance list",
		Flags:   s.declareFlags,
		Start:   s.start,
	}, os.Args[1:], os.Stdout, os.Stderr))
}

func (s *service) declareFlags(flags *flag.FlagSet) {
	flags.DurationVar(&s.lag, "lag", 500*time.Millisecond, "show a change after `PERIOD`")
	flags.StringVar(&s.cloud, "cloud", "", "also list the instances of the cloud API at `ADDRESS`")
}

func (s *service) start(ctx context.Context, app *fiber.App) error {
	if s.lag < 0 {
		return eris.Wrap(stand.ErrUsage, "-lag must not be negative")
	}
	s.instanceList = newInstanceList(s.lag)
	if s.cloud != "" {
		go s.mirror(ctx)
	}
	s.faults.Serve(app)
	app.Get("/instances", s.read)
	app.Post("/admin/instances", s.put)
	app.Delete("/admin/instances/:id", s.remove)
	return nil
}

func (s *service) read(c *fiber.Ctx) error {
	f := s.faults.Get()
	stand.SleepMilliseconds(f.DelayMilliseconds)
	if f.Down {
		return fiber.ErrServiceUnavailable
	}
	return c.JSON(s.instanceList.visible(time.Now()))
}

// put adds an instance or replaces the one with the same Id, for example to mark it as leaving. A
// missing State means Live.
func (s *service) put(c *fiber.Ctx) error {
	instance, err := stand.DecodeStrict[wire.Instance](c.Body())
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	switch instance.State {
	case "":
		instance.State = wire.Live
	case wire.Starting, wire.Live, wire.Leaving:
	default:
		return fiber.NewError(fiber.StatusBadRequest, "State is unknown")
	}
	if instance.ID == "" || instance.Address == "" {
		return fiber.NewError(fiber.StatusBadRequest, "Id or Address is missing")
	}
	s.instanceList.put(instance, time.Now())
	return c.SendStatus(fiber.StatusNoContent)
}

func (s *service) remove(c *fiber.Ctx) error {
	if !s.instanceList.remove(c.Params("id"), time.Now()) {
		return fiber.ErrNotFound
	}
	return c.SendStatus(fiber.StatusNoContent)
}
