package relay

import (
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// Settings are what a daemon is started with.
	Settings struct {
		Name       string
		DataCentre string
		// Listen is the callers' address, ReadyListen the balancer's, ControlListen that of
		// other daemons that start, PeerListen that of digests, MetricsListen that of metrics.
		// All are IP:port; the last three may be empty.
		Listen        string
		ReadyListen   string
		ControlListen string
		PeerListen    string
		MetricsListen string
		// Speed ranks machines; that of a whole core is 1.
		Speed float64
		// Seeds are control addresses of daemons that may be up.
		Seeds []string
		// Bootstrap says that the whole system starts for the first time.
		Bootstrap bool
		// ReportsUsage and OrdersEndpoints are the duties that the platform has.
		ReportsUsage    bool
		OrdersEndpoints bool
		Bounds          Bounds
	}

	// Bounds are the platform's limits for the daemons.
	Bounds struct {
		// Grace is the time between the signal to stop and the kill.
		Grace time.Duration
		// Lease is the time within which two holders of a duty must not act by turns.
		Lease time.Duration
		// UsageWindow is the length of a window of usage, UsageLate the time after its end by
		// which it must be reported.
		UsageWindow time.Duration
		UsageLate   time.Duration
		// RetryRatio of the requests plus RetryAllowance may be sent again to a service in a
		// RetryWindow, over all daemons.
		RetryRatio     float64
		RetryAllowance int
		RetryWindow    time.Duration
		// CacheReuse is how long a shared prompt part is worth keeping after its last use.
		CacheReuse time.Duration
	}
)

// Check returns ErrSettings with every setting that is missing or out of range.
func (s Settings) Check() error {
	var faults []string
	require := func(name, text string) {
		if text == "" {
			faults = append(faults, name+" is missing")
		}
	}
	require("Name", s.Name)
	require("DataCentre", s.DataCentre)
	require("Listen", s.Listen)
	require("ReadyListen", s.ReadyListen)
	positive := func(name string, length time.Duration) {
		if length <= 0 {
			faults = append(faults, name+" must be above 0")
		}
	}
	positive("Grace", s.Bounds.Grace)
	positive("Lease", s.Bounds.Lease)
	positive("RetryWindow", s.Bounds.RetryWindow)
	if s.ReportsUsage {
		positive("UsageWindow", s.Bounds.UsageWindow)
	}
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetryRatio > 1 {
		faults = append(faults, "RetryRatio must be from 0 to 1")
	}
	if len(faults) > 0 {
		return eris.Wrap(ErrSettings, strings.Join(faults, "; "))
	}
	return nil
}
