package setup

import (
	"cmp"
	"time"
)

type (
	// State is the state that an endpoint reports of itself.
	State string

	// Endpoint is a running process of a service, as registered by that process.
	Endpoint struct {
		ID         string
		Service    string
		Address    string
		DataCentre string
		// Version is the version of the endpoint's software.
		Version string
		Slots   int
		State   State
		// Reclaimable is set if the cloud may reclaim the endpoint's instance at short notice.
		Reclaimable bool
		// LeaveAt is the time at which a leaving endpoint stops; zero if unknown.
		LeaveAt time.Time
		// WarmAt is the time at which the endpoint reaches full speed; zero if it already has. WarmthUnknown is set if
		// the endpoint has not said whether it has.
		WarmAt        time.Time
		WarmthUnknown bool
		// StartedAtMS is the start time of the process in Unix milliseconds. A process that restarts
		// under the same identifier has a higher value.
		StartedAtMS int64
		// Sequence counts the registrations of a process.
		Sequence int64
	}
)

// RoutingAttributes holds the attributes of an endpoint that determine which requests are routed to it.
type RoutingAttributes struct {
	Service, DataCentre, Version string
	Slots                        int
	State                        State
	Reclaimable                  bool
	// Cold reports whether the endpoint has registered as cold.
	Cold bool
}

const (
	// Ready endpoints accept requests.
	Ready State = "Ready"
	// Leaving endpoints drain: they finish their requests and accept no new ones.
	Leaving State = "Leaving"
)

// SameProcess reports whether both records describe the same process.
func (e Endpoint) SameProcess(other Endpoint) bool {
	return e.ID == other.ID && e.Address == other.Address && e.StartedAtMS == other.StartedAtMS
}

// After reports whether the record is newer than another one of the same endpoint, by the process that wrote
// it and the process's sequence number.
func (e Endpoint) After(other Endpoint) bool {
	return cmp.Or(cmp.Compare(e.StartedAtMS, other.StartedAtMS), cmp.Compare(e.Sequence, other.Sequence)) > 0
}

// RoutingAttributes returns the attributes that determine which requests are routed to the endpoint.
func (e Endpoint) RoutingAttributes() RoutingAttributes {
	return RoutingAttributes{
		Service: e.Service, DataCentre: e.DataCentre, Version: e.Version, Slots: e.Slots, State: e.State, Reclaimable: e.Reclaimable,
		Cold: !e.WarmAt.IsZero(),
	}
}
