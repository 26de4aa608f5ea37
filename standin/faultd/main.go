// Command faultd is a TCP proxy that makes connections fail.
//
// # Usage
//
//	faultd -listen 127.0.0.1:0 -port-file ports -forward 127.0.0.1:0=127.0.0.1:7001
//
// The port file's first line is the admin address. Each further line is LISTEN=TARGET
// of one forward, in the order of the flags. More forwards can be added by
// POST /admin/forwards while the proxy runs. POST /admin/faults sets faults that last
// until the next call, and /admin/cut and /admin/silence affect the connections that are open.
// A body without Forward selects all forwards.
package main

import (
	"context"
	"flag"
	"os"
	"strings"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"

	"lentilstage.dev/standin/stand"
)

type (
	// faults lists the faults that a test can inject into the connections of a forward.
	faults struct {
		// DelayMilliseconds delays all data in each direction.
		DelayMilliseconds int `json:"DelayMilliseconds"`
		// Freeze holds back all data and connection closes until it is cleared.
		Freeze bool `json:"Freeze"`
		// Refuse resets new connections immediately.
		Refuse bool `json:"Refuse"`
	}

	// selection selects one forward by its number from 0, or all forwards if Forward is missing.
	selection struct {
		Forward *int `json:"Forward"`
	}

	faultsRequest struct {
		selection
		faults
	}

	silenceRequest struct {
		selection
		// Connections is the number of connections to silence, the oldest first, or 0
		// for all open ones.
		Connections int `json:"Connections"`
	}

	forwardRequest struct {
		Listen string `json:"Listen"`
		Target string `json:"Target"`
	}

	// status describes a forward.
	status struct {
		Forward int    `json:"Forward"`
		Listen  string `json:"Listen"`
		Target  string `json:"Target"`
		// Open counts the open connections, including silent ones, and Accepted all connections so
		// far.
		Open     int `json:"Open"`
		Silent   int `json:"Silent"`
		Accepted int `json:"Accepted"`
		faults
	}

	// affected is the answer with the number of connections that a call changed.
	affected struct {
		Connections int `json:"Connections"`
	}

	service struct {
		specs    []forwardRequest
		forwards forwards
	}
)

func main() {
	s := &service{}
	os.Exit(stand.Run(stand.Program{
		Name:     "faultd",
		Summary:  "TCP proxy that makes connections fail",
		Flags:    s.declareFlags,
		Start:    s.start,
		PortFile: s.portFile,
	}, os.Args[1:], os.Stdout, os.Stderr))
}

func (s *service) declareFlags(flags *flag.FlagSet) {
	flags.Func("forward", "forward connections, `LISTEN=TARGET`; may be repeated", func(text string) error {
		listen, target, found := strings.Cut(text, "=")
		if !found || listen == "" || target == "" {
			return eris.New("want LISTEN=TARGET")
		}
		s.specs = append(s.specs, forwardRequest{Listen: listen, Target: target})
		return nil
	})
}

func (s *service) start(_ context.Context, app *fiber.App) error {
	for _, spec := range s.specs {
		if _, err := s.forwards.add(spec); err != nil {
			return err
		}
	}
	app.Get("/admin/faults", func(c *fiber.Ctx) error { return c.JSON(s.forwards.status()) })
	app.Post("/admin/faults", s.setFaults)
	app.Post("/admin/cut", s.cut)
	app.Post("/admin/silence", s.silence)
	app.Post("/admin/forwards", s.add)
	return nil
}

func (s *service) portFile(address string) string {
	lines := address + "\n"
	for _, f := range s.forwards.status() {
		lines += f.Listen + "=" + f.Target + "\n"
	}
	return lines
}

// setFaults replaces the faults of the selected forwards and answers with the status of all.
func (s *service) setFaults(c *fiber.Ctx) error {
	request, err := decodeBody[faultsRequest](c)
	if err != nil {
		return err
	}
	selected, err := s.selectForwards(request.selection)
	if err != nil {
		return err
	}
	for _, f := range selected {
		f.setFaults(request.faults)
	}
	return c.JSON(s.forwards.status())
}

// cut resets all open connections of the selected forwards on both sides.
func (s *service) cut(c *fiber.Ctx) error {
	request, err := decodeBody[selection](c)
	if err != nil {
		return err
	}
	selected, err := s.selectForwards(request)
	if err != nil {
		return err
	}
	count := 0
	for _, f := range selected {
		count += f.cut()
	}
	return c.JSON(affected{count})
}

// silence makes open connections stop passing data and closes.
func (s *service) silence(c *fiber.Ctx) error {
	request, err := decodeBody[silenceRequest](c)
	if err != nil {
		return err
	}
	selected, err := s.selectForwards(request.selection)
	if err != nil {
		return err
	}
	count := 0
	for _, f := range selected {
		count += f.silence(request.Connections)
	}
	return c.JSON(affected{count})
}

func (s *service) add(c *fiber.Ctx) error {
	request, err := decodeBody[forwardRequest](c)
	if err != nil {
		return err
	}
	if request.Target == "" {
		return fiber.NewError(fiber.StatusBadRequest, "Target is missing")
	}
	if request.Listen == "" {
		request.Listen = "127.0.0.1:0"
	}
	added, err := s.forwards.add(request)
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	return c.JSON(added.status())
}

func (s *service) selectForwards(target selection) ([]*forward, error) {
	all := s.forwards.list()
	if target.Forward == nil {
		return all, nil
	}
	if *target.Forward < 0 || *target.Forward >= len(all) {
		return nil, fiber.NewError(fiber.StatusBadRequest, "there is no such forward")
	}
	return all[*target.Forward : *target.Forward+1], nil
}

// decodeBody decodes the request body. An empty body is decoded as an empty object.
func decodeBody[T any](c *fiber.Ctx) (T, error) {
	body := c.Body()
	if len(body) == 0 {
		body = []byte("{}")
	}
	message, err := stand.DecodeStrict[T](body)
	if err != nil {
		return message, fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	return message, nil
}
