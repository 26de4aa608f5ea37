package setup

import "time"

type (
	// State is what an endpoint says of itself.
	State string

	// Endpoint is a running process of a service, as it has registered itself.
	Endpoint struct {
		ID         string
		Service    string
		Address    string
		DataCentre string
		// Version is that of the endpoint's software.
		Version string
		Slots   int
		State   State
		// Reclaimable endpoints may be taken away at short notice.
		Reclaimable bool
		// LeaveAt is when a leaving endpoint will be gone; zero if it hasn't said.
		LeaveAt time.Time
		// WarmAt is when the endpoint reaches its full speed; zero if it has.
		WarmAt time.Time
		// Born is the start of the process in milliseconds since 1970. An endpoint that
		// starts again under its identifier has a higher one.
		Born int64
	}
)

// Place is what decides which requests an endpoint gets.
type Place struct {
	Service, DataCentre, Version string
	Slots                        int
	State                        State
	Reclaimable                  bool
}

const (
	// Ready endpoints take requests.
	Ready State = "Ready"
	// Leaving endpoints finish what they have and take no new requests.
	Leaving State = "Leaving"
)

// Same reports whether the other record tells of the same process.
func (e Endpoint) Same(other Endpoint) bool {
	return e.ID == other.ID && e.Address == other.Address && e.Born == other.Born
}

// Place returns what decides which requests the endpoint gets.
func (e Endpoint) Place() Place {
	return Place{
		Service: e.Service, DataCentre: e.DataCentre, Version: e.Version, Slots: e.Slots, State: e.State, Reclaimable: e.Reclaimable,
	}
}
