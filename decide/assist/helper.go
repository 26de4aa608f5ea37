package assist

import (
	"time"

	"lentilstage.dev/decide/intake"
)

type (
	// Helper is a daemon that may serve requests of this one, as its last message describes it.
	Helper struct {
		Name, Address, DataCentre string
		// Config is the version of its configuration.
		Config int64
		// Room is the number of requests that it takes over from others, beyond those that it serves for them.
		Room int
		// HeardAt is when that was said. Given is the number of requests that it has been given since and that have not
		// ended.
		HeardAt time.Time
		Given   int
	}

	// Need describes the daemon that hands a request over.
	Need struct {
		DataCentre string
		Config     int64
		// Tried holds the helpers that have not taken this request.
		Tried map[string]bool
		Now   time.Time
	}

	// Offer is a request that another daemon hands over.
	Offer struct {
		// Known reports whether the sender is a daemon that is known at its address.
		Known bool
		// Config is the version of the sender's configuration.
		Config int64
	}

	// Server describes the daemon to which a request is offered.
	Server struct {
		Ready, Draining bool
		Config          int64
		Links           Phase
		// Serving is the number of requests that it serves for others, Room the most.
		Serving, Room int
	}

	// Reason says why a daemon declines a request; None if it takes it.
	Reason string
)

const (
	// None means that the request is taken.
	None Reason = ""
	// Stranger means that the sender is not a known daemon.
	Stranger Reason = "Stranger"
	// NotReady means that the daemon does not serve yet, Stopping that it stops.
	NotReady Reason = "NotReady"
	Stopping Reason = "Draining"
	// OlderConfiguration means that the sender's configuration is newer.
	OlderConfiguration Reason = "OlderConfiguration"
	// LinksNotSound means that the daemon may have lost its own links.
	LinksNotSound Reason = "LinksNotSound"
	// NoRoom means that the daemon serves as many requests of others as it can.
	NoRoom Reason = "NoRoom"

	// HelperTTL is how long a helper's description holds. It is longer than the interval of questions, so that lost
	// answers don't matter.
	HelperTTL = time.Second
	// roomPerCore is the number of requests of others that a daemon serves at the same time with a whole core. A request
	// takes 0.4 ms of a core (1.95 s for 5,460 requests on rutenett-prod) in the 600 ms that it lasts: others' requests
	// take a fifth of a daemon's share.
	roomPerCore = 300
	// roomFraction of the connections of its control address may carry requests of others.
	roomFraction = 0.75
	minRoom      = 1
	// foreignWeight is how much less a helper in another data centre is preferred.
	foreignWeight = 0.25
)

// Room returns the most requests of others that a daemon serves at the same time, by its share of a core and its limits.
func Room(cores float64, limits intake.Limits) int {
	room := int(cores * roomPerCore)
	if connections := limits.Connections[intake.Control]; connections > 0 {
		room = min(room, int(roomFraction*float64(connections)))
	}
	return max(room, minRoom)
}

// Choose draws a helper by the room that is left of it, preferably in the own data centre. ok is false if none has room.
func Choose(helpers []Helper, n Need, random float64) (chosen Helper, ok bool) {
	weight := func(h Helper) float64 {
		if n.Tried[h.Name] || h.Config < n.Config || n.Now.Sub(h.HeardAt) > HelperTTL || h.Room <= h.Given {
			return 0
		}
		left := float64(h.Room - h.Given)
		if h.DataCentre != n.DataCentre {
			left *= foreignWeight
		}
		return left
	}
	total := 0.0
	for _, h := range helpers {
		total += weight(h)
	}
	rest := random * total
	for _, h := range helpers {
		w := weight(h)
		if w == 0 {
			continue
		}
		chosen, ok = h, true
		if rest -= w; rest < 0 {
			break
		}
	}
	return chosen, ok
}

// Judge decides whether a daemon takes a request that is offered to it.
func Judge(o Offer, s Server) Reason {
	switch {
	case !o.Known:
		return Stranger
	case !s.Ready:
		return NotReady
	case s.Draining:
		return Stopping
	case s.Config < o.Config:
		return OlderConfiguration
	case s.Links != Sound:
		return LinksNotSound
	case s.Serving >= s.Room:
		return NoRoom
	}
	return None
}
