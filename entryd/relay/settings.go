package relay

import (
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// Settings configure a daemon.
	Settings struct {
		Name       string
		DataCentre string
		// Listen is the address for callers, ReadyListen for the balancer's health checks,
		// ControlListen for other daemons that fetch snapshots, PeerListen for messages between
		// daemons, MetricsListen for metrics. All are IP:port; the last three may be empty.
		Listen        string
		ReadyListen   string
		ControlListen string
		PeerListen    string
		MetricsListen string
		// Speed ranks instances; an instance with a whole core has 1.
		Speed float64
		// Seeds are control addresses of daemons that may be up.
		Seeds []string
		// Bootstrap is set when the whole system starts for the first time.
		Bootstrap bool
		// ReportsUsage and OrdersEndpoints state which calls the platform has for a lease holder.
		ReportsUsage    bool
		OrdersEndpoints bool
		Bounds          Bounds
	}

	// Bounds are the platform's limits for the daemons.
	Bounds struct {
		// Grace is the time between the signal to stop and the kill.
		Grace time.Duration
		// Lease is the span of time within which no two lease holders may both act.
		Lease time.Duration
		// UsageWindow is the length of a usage window, UsageLate the time after its end by which it
		// must be reported.
		UsageWindow time.Duration
		UsageLate   time.Duration
		// RetryRatio of the requests plus RetryAllowance may be retried at a service in a
		// RetryWindow, over all daemons.
		RetryRatio     float64
		RetryAllowance int
		RetryWindow    time.Duration
		// CacheReuse is how long a shared prompt part stays useful in a cache after its last use.
		CacheReuse time.Duration
	}
)

// Check returns ErrSettings with every setting that is missing or out of range.
func (s Settings) Check() error {
	var problems []string
	require := func(name, text string) {
		if text == "" {
			problems = append(problems, name+" is missing")
		}
	}
	require("Name", s.Name)
	require("DataCentre", s.DataCentre)
	require("Listen", s.Listen)
	require("ReadyListen", s.ReadyListen)
	positive := func(name string, length time.Duration) {
		if length <= 0 {
			problems = append(problems, name+" must be above 0")
		}
	}
	positive("Grace", s.Bounds.Grace)
	positive("Lease", s.Bounds.Lease)
	positive("RetryWindow", s.Bounds.RetryWindow)
	if s.ReportsUsage {
		positive("UsageWindow", s.Bounds.UsageWindow)
	}
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetryRatio > 1 {
		problems = append(problems, "RetryRatio must be from 0 to 1")
	}
	if len(problems) > 0 {
		return eris.Wrap(ErrSettings, strings.Join(problems, "; "))
	}
	return nil
}
