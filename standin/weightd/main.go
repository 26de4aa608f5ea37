// Command weightd is a stand-in for the weight store.
//
// # Usage
//
//	weightd -listen 127.0.0.1:7004 -size 64000000 -rate 32000000 -parallel 4
//
// GET /weights/{name} streams zero bytes at the rate. Any name is valid.
package main

import (
	"bufio"
	"context"
	"flag"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"

	"lentilstage.dev/standin/stand"
)

type (
	// faults lists the faults that a test can inject into the store.
	faults struct {
		// Down refuses each read with 503.
		Down bool `json:"Down"`
		// DelayMilliseconds delays each read.
		DelayMilliseconds int `json:"DelayMilliseconds"`
	}

	// reads counts the reads by their state or outcome.
	reads struct {
		Open    int64 `json:"Open"`
		Whole   int64 `json:"Whole"`
		Refused int64 `json:"Refused"`
	}

	service struct {
		size      int
		rate      float64
		parallel  int64
		open      atomic.Int64
		completed atomic.Int64
		refused   atomic.Int64
		faults    stand.Faults[faults]
	}
)

// tick is the time between two writes of a read.
const tick = 10 * time.Millisecond

func main() {
	s := &service{}
	os.Exit(stand.Run(stand.Program{
		Name:    "weightd",
		Summary: "stand-in for the weight store",
		Flags:   s.declareFlags,
		Start:   s.start,
	}, os.Args[1:], os.Stdout, os.Stderr))
}

func (s *service) declareFlags(flags *flag.FlagSet) {
	flags.IntVar(&s.size, "size", 16<<20, "size of each artefact, `N` bytes")
	flags.Float64Var(&s.rate, "rate", 16<<20, "stream each read at `N` bytes a second")
	flags.Int64Var(&s.parallel, "parallel", 4, "refuse with 429 beyond `N` parallel reads")
}

func (s *service) start(_ context.Context, app *fiber.App) error {
	if s.size < 0 || s.rate <= 0 || s.parallel < 1 {
		return eris.Wrap(stand.ErrUsage, "-size is negative, or -rate or -parallel is not positive")
	}
	s.faults.Serve(app)
	app.Get("/weights/:name", s.read)
	app.Get("/admin/reads", func(c *fiber.Ctx) error {
		return c.JSON(reads{Open: s.open.Load(), Whole: s.completed.Load(), Refused: s.refused.Load()})
	})
	return nil
}

func (s *service) read(c *fiber.Ctx) error {
	f := s.faults.Get()
	stand.SleepMilliseconds(f.DelayMilliseconds)
	if f.Down {
		return fiber.ErrServiceUnavailable
	}
	if s.open.Add(1) > s.parallel {
		s.open.Add(-1)
		s.refused.Add(1)
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(s.retryAfter()))
		return fiber.ErrTooManyRequests
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEOctetStream)
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.open.Add(-1)
		s.write(w)
	})
	return nil
}

// retryAfter returns the duration of a whole read in seconds, rounded up.
func (s *service) retryAfter() int { return int(float64(s.size)/s.rate) + 1 }

// write streams the artefact at the rate until it is complete or the reader disconnects.
func (s *service) write(w *bufio.Writer) {
	begin, part := time.Now(), make([]byte, 1<<16)
	for sent := 0; sent < s.size; {
		allowed := min(s.size, int(time.Since(begin).Seconds()*s.rate))
		for sent < allowed {
			n, err := w.Write(part[:min(len(part), allowed-sent)])
			if err != nil {
				return
			}
			sent += n
		}
		if w.Flush() != nil {
			return
		}
		time.Sleep(tick)
	}
	s.completed.Add(1)
}
