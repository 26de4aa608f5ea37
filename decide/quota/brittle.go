package quota

import (
	"slices"

	"lentilstage.dev/domain/ident"
)

// Room says whether a brittle endpoint, which falls over if it has to turn away too many requests, may get one.
type Room int

const (
	// Reserved: the request uses a slot that no other daemon uses.
	Reserved Room = iota
	// Roomy: the endpoint has room for requests of all daemons, as far as is known.
	Roomy
	// Crowded: it has room, but not for a request of each daemon that knows so.
	Crowded
	// Full: it may have no room.
	Full
)

const (
	// roomyFraction and fullFraction of the slots are the loads up to which an endpoint is roomy, and from which it may be
	// full. Loads are some tenths of a second old.
	roomyFraction = 0.4
	fullFraction  = 0.8
)

// RoomFor returns the room of an endpoint with a number of slots. load is the number of requests there that is known, own
// that of this daemon, share the number of slots that this daemon may use whatever the others do.
func RoomFor(slots, load, own, share int) Room {
	switch {
	case own < share && load < slots:
		return Reserved
	case float64(load) < roomyFraction*float64(slots):
		return Roomy
	case float64(load) < fullFraction*float64(slots):
		return Crowded
	}
	return Full
}

// SlotShare returns how many of an endpoint's slots a daemon may use whatever the others do. All daemons that know the same
// names agree on the shares, whose sum is the number of slots.
func SlotShare(slots int, endpoint, self string, daemons []string) int {
	if len(daemons) == 0 {
		return slots
	}
	share, rest := slots/len(daemons), slots%len(daemons)
	if slices.Contains(ident.RendezvousOrder(endpoint, daemons)[:rest], self) {
		share++
	}
	return share
}
