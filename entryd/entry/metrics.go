package entry

import (
	"bytes"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rcrowley/go-metrics"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/wire/answer"
)

// counters are the daemon's metrics. Counters only increase, gauges hold the current value and
// timers are in nanoseconds.
type counters struct {
	registry metrics.Registry
	// accepted, finished and incomplete count model requests. takenOver counts those taken over
	// from another daemon.
	accepted, finished, incomplete, takenOver metrics.Counter
	// attempts and failedAttempts count streams opened at engines, tokens the tokens received from
	// them.
	attempts, failedAttempts, tokens metrics.Counter
	// recomputed counts the prompt and answer tokens that had to be computed again after a resume.
	recomputed metrics.Counter
	calls      metrics.Counter
	firstToken metrics.Timer
}

func newCounters() *counters {
	r := metrics.NewRegistry()
	count := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return &counters{
		registry: r,
		accepted: count("Requests.Accepted"), finished: count("Requests.Finished"),
		incomplete: count("Requests.Incomplete"), takenOver: count("Requests.TakenOver"),
		attempts: count("Attempts.Started"), failedAttempts: count("Attempts.Failed"),
		tokens: count("Tokens.Generated"), recomputed: count("Tokens.Recomputed"),
		calls: count("Calls.Received"), firstToken: metrics.GetOrRegisterTimer("FirstToken", r),
	}
}

// countRefusal counts a refusal by its code.
func (c *counters) countRefusal(code codes.Code) {
	metrics.GetOrRegisterCounter("Refused."+code.Info().Name, c.registry).Inc(1)
}

// countRejected counts an endpoint's answer that is not whole and well-formed, by why it is not.
func (c *counters) countRejected(reason answer.Reason) {
	metrics.GetOrRegisterCounter("Answers.Rejected."+string(reason), c.registry).Inc(1)
}

// setGauge sets a gauge to its current value.
func (c *counters) setGauge(name string, number int) {
	metrics.GetOrRegisterGauge(name, c.registry).Update(int64(number))
}

// recordStream records the end of an attempt's stream.
func (c *counters) recordStream(f streamStats, failed bool) {
	c.tokens.Inc(int64(f.tokens))
	if failed {
		c.failedAttempts.Inc(1)
	}
	if first := f.firstToken(); first > 0 && !f.resumed {
		c.firstToken.Update(first.Round(time.Microsecond))
	}
}

// metrics writes the daemon's metrics as JSON.
func (s *server) metrics(c *fiber.Ctx) error {
	counted := s.base.Counters
	counted.setGauge("Requests.Owned", s.daemon.requests.count())
	counted.setGauge("Requests.Held", s.daemon.holder.count())
	counted.setGauge("Connections.Open", int(s.daemon.connections.Load()))
	var buffer bytes.Buffer
	metrics.WriteJSONOnce(counted.registry, &buffer)
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(buffer.Bytes())
}
