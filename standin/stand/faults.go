package stand

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"

	"lentilstage.dev/wire/wire"
)

type (
	// Faults holds the current faults of a stand-in. F is the type that lists them; its zero
	// value means no fault. Faults is safe for concurrent use.
	Faults[F any] struct {
		mutex   sync.Mutex
		current F
	}

	// Trigger selects the answers, calls or chunks that a fault hits: the next few, then a
	// random share of the rest.
	Trigger struct {
		// Next is the number of coming cases that the fault hits for certain.
		Next int `json:"Next"`
		// Probability is the probability of a hit in each later case, 0 to 1.
		Probability float64 `json:"Probability"`
	}
)

var (
	randomMutex sync.Mutex
	random      = rand.New(rand.NewPCG(1, 1))
)

func seedRandom(seed uint64) {
	randomMutex.Lock()
	defer randomMutex.Unlock()
	random = rand.New(rand.NewPCG(seed, seed))
}

// DrawHit returns true with the probability, drawn from the seeded source.
func DrawHit(probability float64) bool {
	if probability <= 0 {
		return false
	}
	randomMutex.Lock()
	defer randomMutex.Unlock()
	return random.Float64() < probability
}

// Get returns a copy of the current faults.
func (f *Faults[F]) Get() F {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.current
}

// Update changes the faults in place, for example to count down a trigger.
func (f *Faults[F]) Update(change func(*F)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change(&f.current)
}

// Hit reports whether the fault that field selects hits the current case, and counts down its Next.
func (f *Faults[F]) Hit(field func(*F) *Trigger) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	chance := field(&f.current)
	if chance.Next > 0 {
		chance.Next--
		return true
	}
	return DrawHit(chance.Probability)
}

// Serve adds GET and POST /admin/faults. A post replaces all faults, so that an empty
// object clears them; an unknown field is refused with 400.
func (f *Faults[F]) Serve(app *fiber.App) { f.ServeAt(app, "/admin/faults") }

// ServeAt is like Serve, with another path.
func (f *Faults[F]) ServeAt(app *fiber.App, path string) {
	app.Get(path, func(c *fiber.Ctx) error { return c.JSON(f.Get()) })
	app.Post(path, func(c *fiber.Ctx) error {
		next, err := DecodeStrict[F](c.Body())
		if err != nil {
			return fiber.NewError(fiber.StatusBadRequest, err.Error())
		}
		f.Update(func(present *F) { *present = next })
		return c.JSON(next)
	})
}

// DecodeStrict decodes a message and rejects unknown fields. The error wraps wire.ErrMessage.
func DecodeStrict[T any](data []byte) (T, error) {
	var message T
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&message); err != nil {
		return message, eris.Wrap(wire.ErrMessage, err.Error())
	}
	return message, nil
}

// Body decodes the request body and validates it. The error has status 400.
func Body[T any](c *fiber.Ctx) (T, error) {
	message, err := wire.Decode[T](c.Body())
	if err != nil {
		return message, fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	return message, nil
}

// CloseWithoutAnswer closes the connection without an answer.
func CloseWithoutAnswer(c *fiber.Ctx) error {
	c.Context().HijackSetNoResponse(true)
	c.Context().Hijack(func(net.Conn) {})
	return nil
}

// SleepMilliseconds sleeps for the given milliseconds.
func SleepMilliseconds(milliseconds int) {
	if milliseconds > 0 {
		time.Sleep(time.Duration(milliseconds) * time.Millisecond)
	}
}
