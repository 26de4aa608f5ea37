package relay

import (
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"lentilstage.dev/decide/intake"
)

type (
	// Settings configure a daemon.
	Settings struct {
		Name       string
		DataCentre string
		// Region is the region of DataCentre, Regions those of data centres by name; empty if not known.
		Region  string
		Regions map[string]string
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
		Limits          Limits
		// Instance is what the process may use, and Intake replaces limits that are derived from it.
		Instance intake.Instance
		Intake   intake.Overrides
	}

	// Limits are the platform's limits for the daemons.
	Limits struct {
		// GracePeriod is the time between the signal to stop and the kill.
		GracePeriod time.Duration
		// LeaseDuration is the span of time within which no two lease holders may both act.
		LeaseDuration time.Duration
		// UsageWindow is the length of a usage window, MaxUsageDelay the time after its end by which it
		// must be reported.
		UsageWindow   time.Duration
		MaxUsageDelay time.Duration
		// RetryRatio of the requests plus RetryAllowance may be retried at a service in a
		// RetryWindow, over all daemons.
		RetryRatio     float64
		RetryAllowance int
		RetryWindow    time.Duration
		// HedgeShare of the requests may get a copy at a second endpoint, inside the limits of retries; 0 for none.
		// The operator sets it.
		HedgeShare float64
		// ReportInterval is how often an endpoint renews its registration; 0 if not known.
		ReportInterval time.Duration
		// ColdOverrun times the rate that a cold endpoint tolerates plus ColdTolerance is the most requests that it may
		// get in any one second.
		ColdOverrun   float64
		ColdTolerance float64
		// EvacuationTime is the time from an evacuation's record until no request may be sent there.
		EvacuationTime time.Duration
		// CacheReuseWindow is how long a shared prompt part stays useful in a cache after its last use.
		CacheReuseWindow time.Duration
	}
)

// Check returns ErrInvalidSettings with every setting that is missing or out of range.
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
	positive("Grace", s.Limits.GracePeriod)
	positive("Lease", s.Limits.LeaseDuration)
	positive("RetryWindow", s.Limits.RetryWindow)
	if s.ReportsUsage {
		positive("UsageWindow", s.Limits.UsageWindow)
	}
	if s.Limits.RetryRatio < 0 || s.Limits.RetryRatio > 1 {
		problems = append(problems, "RetryRatio must be from 0 to 1")
	}
	if !(s.Limits.HedgeShare >= 0 && s.Limits.HedgeShare <= 1) {
		problems = append(problems, "HedgeShare must be from 0 to 1")
	}
	if _, err := intake.Derive(s.Instance, s.Intake); err != nil {
		problems = append(problems, err.Error())
	}
	if len(problems) > 0 {
		return eris.Wrap(ErrInvalidSettings, strings.Join(problems, "; "))
	}
	return nil
}
