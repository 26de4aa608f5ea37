package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilstage.dev/decide/shift"
	"lentilstage.dev/decide/suspect"
)

type (
	// message is a datagram between daemons. Numbered fields keep it small.
	message struct {
		Daemon      string  `cbor:"1,keyasint"`
		Incarnation string  `cbor:"2,keyasint"`
		Control     string  `cbor:"3,keyasint,omitempty"`
		DataCentre  string  `cbor:"4,keyasint"`
		Speed       float64 `cbor:"5,keyasint"`
		Config      int64   `cbor:"6,keyasint,omitempty"`
		TimeMS      int64   `cbor:"7,keyasint"`
		// Digest marks a digest. A heartbeat contains only the fields that describe the sender.
		Digest bool `cbor:"18,keyasint,omitempty"`
		// Loads and Used are the sender's own in a digest; in totals they are those of all daemons
		// but the receiver.
		Loads map[uint32]load  `cbor:"8,keyasint,omitempty"`
		Used  map[string]int64 `cbor:"9,keyasint,omitempty"`
		// ReadAgeMS is the time since the sender's own last read of the endpoints.
		ReadAgeMS int64 `cbor:"22,keyasint"`
		// Breaks counts the broken attempts of suspect requests. Quarantined holds the requests in
		// quarantine, each with how often it was quarantined.
		Breaks      map[suspect.Key]int `cbor:"24,keyasint,omitempty"`
		Quarantined map[suspect.Key]int `cbor:"25,keyasint,omitempty"`
		// AnsweredMS holds the ages of responses to requests that other daemons suspect.
		AnsweredMS map[suspect.Key]int64 `cbor:"30,keyasint,omitempty"`
		// Outcomes are the outcomes of roll-outs, by service.
		Outcomes map[string]outcomes `cbor:"21,keyasint,omitempty"`
		// Recent is the part of Used by processes that have just started, AgeMS the time since the
		// sender's start.
		Recent map[string]int64 `cbor:"19,keyasint,omitempty"`
		AgeMS  int64            `cbor:"20,keyasint"`
		// Counts are the sender's requests of each client account, by usage window.
		Counts map[int64]map[string]int64 `cbor:"10,keyasint,omitempty"`
		// Fence is the fencing number if the sender holds the lease.
		Fence int64 `cbor:"11,keyasint,omitempty"`
		// Follow asks the receiver for totals.
		Follow bool    `cbor:"12,keyasint,omitempty"`
		Totals *totals `cbor:"13,keyasint,omitempty"`
		// Put and Gone are changes of endpoints, for followers.
		Put  []Record `cbor:"14,keyasint,omitempty"`
		Gone []Record `cbor:"15,keyasint,omitempty"`
		// Operators are the operators' records from offset OperatorsFrom up to OperatorsNext, for
		// followers.
		Operators     []Record `cbor:"27,keyasint,omitempty"`
		OperatorsFrom int64    `cbor:"28,keyasint,omitempty"`
		OperatorsNext int64    `cbor:"29,keyasint,omitempty"`
		// Work is the engine time of the requests that the sender has placed, in milliseconds by
		// service.
		Work map[string]int64 `cbor:"16,keyasint,omitempty"`
		// Prefixes are the parts of prompts that were recently sent to engines: by the sender in a
		// digest, by all daemons in totals.
		Prefixes prefixParts `cbor:"26,keyasint,omitempty"`
	}

	// outcomes counts the new version's outcomes in a roll-out of a service.
	outcomes struct {
		Target string `cbor:"1,keyasint"`
		Good   int64  `cbor:"2,keyasint"`
		Bad    int64  `cbor:"3,keyasint"`
		// AgeMS is the time since the order, as far as the sender knows.
		AgeMS int64 `cbor:"4,keyasint,omitempty"`
		// Stopped reports whether the version no longer gets requests. Ended is the final verdict
		// once it is published.
		Stopped bool         `cbor:"5,keyasint,omitempty"`
		Ended   shift.Status `cbor:"6,keyasint,omitempty"`
	}

	// totals is a hub's report about itself and all daemons.
	totals struct {
		Daemons int `cbor:"1,keyasint"`
		// Silent is the number of daemons that the hub receives no messages from.
		Silent int `cbor:"8,keyasint,omitempty"`
		// OperatorsAgeMS is the time since the hub's last read of the operators' stream. The age of
		// its read of the endpoints is the message's ReadAgeMS.
		OperatorsAgeMS int64 `cbor:"3,keyasint"`
		// OperatorsNext is the offset after the last operators' record that the hub has read.
		OperatorsNext int64 `cbor:"9,keyasint,omitempty"`
		// EndpointsNext is the offset after the last endpoint record that the hub has read, Roster
		// the hash of the endpoints at that offset.
		EndpointsNext int64  `cbor:"5,keyasint"`
		Roster        uint64 `cbor:"6,keyasint"`
	}

	// load is the load that one or more daemons place on an endpoint.
	load struct {
		_        struct{} `cbor:",toarray"`
		Requests int
		Reading  int
		Memory   int
	}
)

func (l load) plus(o load) load {
	return load{Requests: l.Requests + o.Requests, Reading: l.Reading + o.Reading, Memory: l.Memory + o.Memory}
}

func (l load) minus(o load) load {
	return load{Requests: l.Requests - o.Requests, Reading: l.Reading - o.Reading, Memory: l.Memory - o.Memory}
}

func floats(used map[string]int64) map[string]float64 {
	floats := make(map[string]float64, len(used))
	for account, amount := range used {
		floats[account] = float64(amount)
	}
	return floats
}

// shortID returns a short identifier of an endpoint, daemon or prompt part for messages. Two
// endpoints with the same identifier would share their loads, which is harmless.
func shortID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// readAge returns the time since the sender's own last read of the endpoints.
func (m message) readAge() time.Duration { return time.Duration(m.ReadAgeMS) * time.Millisecond }
