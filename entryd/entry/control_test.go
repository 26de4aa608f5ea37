package entry

import (
	"testing"
	"time"

	"lentilstage.dev/decide/config"
	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

// TestSuspendedDaemonRefuses guards against a daemon whose instance was suspended for longer than the
// serving lease, and that serves by a table which was replaced meanwhile: Go's monotonic time does not
// count the suspension.
func TestSuspendedDaemonRefuses(t *testing.T) {
	b := newBase(Settings{Name: "entry-1"}, nil)
	running, suspended := time.Now(), time.Duration(0)
	b.Now = func() time.Time { return running }
	b.LeaseNow = func() time.Time { return time.Unix(500, 0).Add(suspended) }
	c := newControl(b, nil, nil)
	c.update(config.Page{Page: wire.LogPage{}, Sent: b.LeaseNow()})
	if refusal := c.checkServing(); refusal != nil {
		t.Fatalf("refusal before the suspension: %v", refusal)
	}
	permit := config.NewPermit("", "studio", "", table.Plain)
	suspended = config.DefaultRules.Lease + time.Second
	refusal := c.checkPermit(permit)
	if refusal == nil || refusal.Code != codes.ConfigUnknown {
		t.Fatalf("refusal %v after a suspension longer than the lease, want ConfigUnknown", refusal)
	}
	if want := running.Add(retryDelay); !refusal.RetryAt.Equal(want) {
		t.Errorf("retry at %s, want %s by the time of day", refusal.RetryAt, want)
	}
}
