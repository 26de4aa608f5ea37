package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilstage.dev/decide/shift"
	"lentilstage.dev/decide/suspect"
)

type (
	// message is a datagram. Numbers stand for names to keep it small.
	message struct {
		Daemon      string  `cbor:"1,keyasint"`
		Incarnation string  `cbor:"2,keyasint"`
		Control     string  `cbor:"3,keyasint,omitempty"`
		DataCentre  string  `cbor:"4,keyasint"`
		Speed       float64 `cbor:"5,keyasint"`
		Config      int64   `cbor:"6,keyasint,omitempty"`
		TimeMS      int64   `cbor:"7,keyasint"`
		// Digest says that the message is a digest; a greeting has nothing else.
		Digest bool `cbor:"18,keyasint,omitempty"`
		// Loads and Used are the sender's own in a digest; those of all daemons but the
		// receiver in totals.
		Loads map[uint32]load  `cbor:"8,keyasint,omitempty"`
		Used  map[string]int64 `cbor:"9,keyasint,omitempty"`
		// ReadAgeMS is the time since the sender's own last read of the endpoints.
		ReadAgeMS int64 `cbor:"22,keyasint"`
		// Breaks counts the attempts of suspect requests that broke off; Quarantined are kept out, for
		// the given time in a row.
		Breaks      map[suspect.Key]int `cbor:"24,keyasint,omitempty"`
		Quarantined map[suspect.Key]int `cbor:"25,keyasint,omitempty"`
		// AnsweredMS are the ages of answers to requests that others suspect.
		AnsweredMS map[suspect.Key]int64 `cbor:"30,keyasint,omitempty"`
		// Outcomes are those of the services in a roll-out.
		Outcomes map[string]outcomes `cbor:"21,keyasint,omitempty"`
		// Recent is the part of Used by processes that have just started, AgeMS the time since the
		// sender's start.
		Recent map[string]int64 `cbor:"19,keyasint,omitempty"`
		AgeMS  int64            `cbor:"20,keyasint"`
		// Counts are the sender's requests of each account by window.
		Counts map[int64]map[string]int64 `cbor:"10,keyasint,omitempty"`
		// Fence is that of the duty if the daemon holds it.
		Fence int64 `cbor:"11,keyasint,omitempty"`
		// Follow asks the receiver for totals.
		Follow bool    `cbor:"12,keyasint,omitempty"`
		Totals *totals `cbor:"13,keyasint,omitempty"`
		// Put and Gone are changes of endpoints, for those that follow.
		Put  []Record `cbor:"14,keyasint,omitempty"`
		Gone []Record `cbor:"15,keyasint,omitempty"`
		// Operators are the operators' records from the offset OperatorsFrom up to OperatorsNext, for
		// those that follow.
		Operators     []Record `cbor:"27,keyasint,omitempty"`
		OperatorsFrom int64    `cbor:"28,keyasint,omitempty"`
		OperatorsNext int64    `cbor:"29,keyasint,omitempty"`
		// Work is the engine time of what the sender has placed, in milliseconds by service.
		Work map[string]int64 `cbor:"16,keyasint,omitempty"`
		// Prefixes are parts of prompts that were sent to engines lately: by the sender in a digest, by
		// all daemons in totals.
		Prefixes prefixParts `cbor:"26,keyasint,omitempty"`
	}

	// outcomes are the answers of the new version in a roll-out that a daemon has got.
	outcomes struct {
		Target string `cbor:"1,keyasint"`
		Good   int64  `cbor:"2,keyasint"`
		Bad    int64  `cbor:"3,keyasint"`
		// AgeMS is the time since the order as far as the sender knows.
		AgeMS int64 `cbor:"4,keyasint,omitempty"`
		// Stopped says that the version gets no more requests, Ended the verdict that was told.
		Stopped bool          `cbor:"5,keyasint,omitempty"`
		Ended   shift.Verdict `cbor:"6,keyasint,omitempty"`
	}

	// totals are what a hub tells of all daemons.
	totals struct {
		Daemons int `cbor:"1,keyasint"`
		// Silent is how many of them the hub does not hear.
		Silent int `cbor:"8,keyasint,omitempty"`
		// OperatorsAgeMS is the time since the hub's last read of the operators' stream; that of
		// the endpoints is the message's ReadAgeMS.
		OperatorsAgeMS int64 `cbor:"3,keyasint"`
		// OperatorsNext is the offset after the last record of that stream that the hub has read.
		OperatorsNext int64 `cbor:"9,keyasint,omitempty"`
		// EndpointsNext is the offset after the last record that the hub has read, Roster the
		// hash of the endpoints by then.
		EndpointsNext int64  `cbor:"5,keyasint"`
		Roster        uint64 `cbor:"6,keyasint"`
	}

	// load is an endpoint's load by one or more daemons.
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

func amounts(used map[string]int64) map[string]float64 {
	amounts := make(map[string]float64, len(used))
	for account, amount := range used {
		amounts[account] = float64(amount)
	}
	return amounts
}

// shortID stands for an endpoint or a daemon in messages. Two with the same one would share
// their loads, which is harmless.
func shortID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// readAge returns the time since the sender's own last read of the endpoints.
func (m message) readAge() time.Duration { return time.Duration(m.ReadAgeMS) * time.Millisecond }
