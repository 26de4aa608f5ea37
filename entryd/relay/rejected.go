package relay

import (
	"context"
	"time"

	"lentilstage.dev/domain/value"
	"lentilstage.dev/wire/answer"
)

// countRejected counts an answer that is not whole and well-formed, and returns why it is not. It returns
// answer.Accepted for an error of another kind.
func (d *Daemon) countRejected(err error) answer.Reason {
	reason := answer.ReasonOf(err)
	if reason != answer.Accepted {
		d.meters.count("Answers.Rejected." + string(reason))
	}
	return reason
}

// recordRejected counts an answer to a call other than a request, and logs it if it is rejected.
func (d *Daemon) recordRejected(call string, err error) {
	if reason := d.countRejected(err); reason != answer.Accepted {
		d.logger.WithName("answers").Info("Answer rejected.", "Call", call, "Reason", reason, "Error", err.Error())
	}
}

// recordRejected counts and logs a response that is rejected. It reports whether the error is of that kind.
func (a *attempt) recordRejected(err error) bool {
	reason := a.x.daemon.countRejected(err)
	if reason == answer.Accepted {
		return false
	}
	a.x.log("Answer rejected.", "Endpoint", a.endpoint.ID, "Reason", reason, "Error", err.Error())
	return true
}

// observedStore returns a store whose rejected answers are recorded.
func (d *Daemon) observedStore(s Store) Store {
	return Store{
		Read: func(ctx context.Context, stream Stream, from int64, wait time.Duration) (Page, error) {
			page, err := s.Read(ctx, stream, from, wait)
			d.recordRejected("Read", err)
			return page, err
		},
		Newest: func(ctx context.Context, stream Stream) (Page, error) {
			page, err := s.Newest(ctx, stream)
			d.recordRejected("Newest", err)
			return page, err
		},
		Append: func(ctx context.Context, stream Stream, at int64, key string, data []byte) (value.Position, error) {
			end, err := s.Append(ctx, stream, at, key, data)
			d.recordRejected("Append", err)
			return end, err
		},
	}
}

// observedCloud returns a cloud whose rejected answers are recorded.
func (d *Daemon) observedCloud(c Cloud) Cloud {
	return Cloud{
		ReportUsage: func(ctx context.Context, m HeldLease, window int64, counts map[string]int64) error {
			err := c.ReportUsage(ctx, m, window, counts)
			d.recordRejected("ReportUsage", err)
			return err
		},
		OrderEndpoints: func(ctx context.Context, m HeldLease, o EndpointOrder) error {
			err := c.OrderEndpoints(ctx, m, o)
			d.recordRejected("OrderEndpoints", err)
			return err
		},
	}
}
