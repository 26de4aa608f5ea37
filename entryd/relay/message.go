package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilstage.dev/decide/hubs"
	"lentilstage.dev/decide/poison"
	"lentilstage.dev/decide/shift"
	"lentilstage.dev/decide/suspect"
	"lentilstage.dev/domain/value"
)

type (
	// message is a datagram between daemons. Numbered fields keep it small. Its kind follows from the
	// fields that are set:
	//
	//   - Digest: a daemon's own loads and usage, for its hub
	//   - Totals: those of all daemons, for a hub's followers
	//   - Sum: those of a hub and its followers, for other hubs
	//   - Operators, Put, Gone: changes, for followers and from the reader for hubs
	//   - Probe: a daemon introduces itself and asks for a message in return
	//   - AskLinks, LinkAnswer: a daemon asks what another one reaches
	message struct {
		Daemon      string  `cbor:"1,keyasint"`
		Incarnation string  `cbor:"2,keyasint"`
		Control     string  `cbor:"3,keyasint,omitempty"`
		DataCentre  string  `cbor:"4,keyasint"`
		Speed       float64 `cbor:"5,keyasint"`
		Config      int64   `cbor:"6,keyasint,omitempty"`
		TimeMS      int64   `cbor:"7,keyasint"`
		Digest      bool    `cbor:"18,keyasint,omitempty"`
		Sum         bool    `cbor:"33,keyasint,omitempty"`
		Probe       bool    `cbor:"34,keyasint,omitempty"`
		// Sequence is the number of a digest. Totals acknowledge it.
		Sequence int64 `cbor:"32,keyasint,omitempty"`
		// Loads and Used are the sender's own in a digest, those of all daemons in totals, and those
		// of a data centre in sums.
		Loads map[uint32]load  `cbor:"8,keyasint,omitempty"`
		Used  map[string]int64 `cbor:"9,keyasint,omitempty"`
		// LoadsFrom and LoadsTo are the first and the last identifier that Loads covers. Endpoints
		// in the range that Loads leaves out have no load.
		LoadsFrom uint32 `cbor:"35,keyasint,omitempty"`
		LoadsTo   uint32 `cbor:"36,keyasint,omitempty"`
		// Referrals describe daemons that the sender has heard of.
		Referrals []referral `cbor:"37,keyasint,omitempty"`
		// Leaves are the planned ends of processes that the sender has heard of lately, its own included. Each costs
		// about 70 bytes: at 390 daemons, a follower receives 140 B/s and a hub of 98 sends 14 KB/s for the 13 s in
		// which a daemon stops, and nothing otherwise.
		Leaves []leave `cbor:"90,keyasint,omitempty"`
		// ReadAgeMS is the time since the last read of the endpoints that informs the sender,
		// OwnReadAgeMS since its own.
		ReadAgeMS    int64 `cbor:"22,keyasint"`
		OwnReadAgeMS int64 `cbor:"38,keyasint"`
		// LogReadableMS is the time since which daemons have read the endpoints without an interruption, as far as
		// the sender knows.
		LogReadableMS int64 `cbor:"42,keyasint,omitempty"`
		// Breaks counts the broken attempts of suspect requests. Quarantined holds the requests in
		// quarantine, each with how often it was quarantined.
		Breaks      map[suspect.Key]int `cbor:"24,keyasint,omitempty"`
		Quarantined map[suspect.Key]int `cbor:"25,keyasint,omitempty"`
		// AnsweredMS holds the ages of responses to requests that other daemons suspect.
		AnsweredMS map[suspect.Key]int64 `cbor:"30,keyasint,omitempty"`
		// Poison holds the parts of prompts that crash endpoints.
		Poison *poison.Report `cbor:"39,keyasint,omitempty"`
		// Limits holds the numbers of requests a second that endpoints take, by short identifiers.
		Limits map[uint32]limitReport `cbor:"43,keyasint,omitempty"`
		// Evacuations are the newest records of evacuations, withdrawals included. About once a second; 60 bytes each.
		Evacuations []Record `cbor:"60,keyasint,omitempty"`
		// Observed are the speeds that were observed at endpoints since the last such message: by the sender in a
		// digest, in its data centre in a sum.
		Observed speedTallies `cbor:"64,keyasint,omitempty"`
		// Speeds are the speeds of endpoints in totals, for the keys from SpeedsFrom to SpeedsTo. Endpoints in the
		// range that Speeds leaves out have the usual speed, as far as is known.
		Speeds     speedLogs `cbor:"65,keyasint,omitempty"`
		SpeedsFrom uint32    `cbor:"66,keyasint,omitempty"`
		SpeedsTo   uint32    `cbor:"67,keyasint,omitempty"`
		// Demand holds what callers ask of each service, by short identifiers of services: of the sender in a digest,
		// of its data centre in a sum, of all daemons in totals.
		Demand map[uint32]demandReport `cbor:"44,keyasint,omitempty"`
		// Cold holds until when endpoints are cold that have said so, by short identifiers. About once a second and 12
		// bytes for each such endpoint.
		Cold map[uint32]coldReport `cbor:"61,keyasint,omitempty"`
		// AskLinks asks the receiver which endpoints it reaches, LinkAnswer is the answer. Only a daemon that may have lost
		// its links asks, four others five times a second: 60 bytes and 5 for each endpoint that fails.
		AskLinks   *linkQuestion `cbor:"70,keyasint,omitempty"`
		LinkAnswer *linkAnswer   `cbor:"71,keyasint,omitempty"`
		// Outcomes are the outcomes of roll-outs, by service.
		Outcomes map[string]outcomes `cbor:"21,keyasint,omitempty"`
		// Recent is the part of Used by processes that have just started, AgeMS the time since the
		// sender's start.
		Recent map[string]int64 `cbor:"19,keyasint,omitempty"`
		AgeMS  int64            `cbor:"20,keyasint"`
		// Counts are the requests of each client account, by usage window: the sender's own in a
		// digest, those of its data centre in a sum.
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
		// OperatorsEra is the era of the log that these offsets belong to.
		OperatorsEra int64 `cbor:"40,keyasint,omitempty"`
		// Era is the newest era of the log that the sender knows.
		Era int64 `cbor:"41,keyasint,omitempty"`
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
		// Evidence compares the new version with the old one.
		Evidence shift.Evidence `cbor:"7,keyasint"`
		// AgeMS is the time since the order, as far as the sender knows.
		AgeMS int64 `cbor:"4,keyasint,omitempty"`
		// Stopped reports whether the version no longer gets requests. Ended is the final verdict
		// once it is published.
		Stopped bool         `cbor:"5,keyasint,omitempty"`
		Ended   shift.Status `cbor:"6,keyasint,omitempty"`
		// EndedEra is the newest era of the log in which it was published.
		EndedEra int64 `cbor:"8,keyasint,omitempty"`
		// LostNew and LostOld are the endpoints of both versions that have not answered since attempts ended there
		// without an answer.
		LostNew shift.Lost `cbor:"9,keyasint"`
		LostOld shift.Lost `cbor:"10,keyasint"`
	}

	// demandReport is what callers ask of a service, in milliseconds of endpoint time.
	demandReport struct {
		_ struct{} `cbor:",toarray"`
		// Offered is the work per second by short identifiers of client accounts, Refused the part of it that was
		// refused for overload.
		Offered map[uint32]int
		Refused int
		// Promised is the work of refused requests that were told to return, by time slot from FirstSlot on.
		FirstSlot uint16
		Promised  []int
	}

	// referral is what a message says about another daemon than its sender.
	referral struct {
		Name         string  `cbor:"1,keyasint"`
		Address      string  `cbor:"2,keyasint"`
		Control      string  `cbor:"3,keyasint,omitempty"`
		DataCentre   string  `cbor:"4,keyasint"`
		Speed        float64 `cbor:"5,keyasint"`
		Incarnation  string  `cbor:"6,keyasint"`
		Config       int64   `cbor:"7,keyasint,omitempty"`
		HoldsLease   bool    `cbor:"8,keyasint,omitempty"`
		ReadAgeMS    int64   `cbor:"9,keyasint"`
		OwnReadAgeMS int64   `cbor:"10,keyasint"`
		SeenAgeMS    int64   `cbor:"11,keyasint"`
	}

	// leave is the planned end of a process.
	leave struct {
		Name        string `cbor:"1,keyasint"`
		Incarnation string `cbor:"2,keyasint"`
		// InMS is the time until the process stops using its part of what the daemons share; 0 once it has.
		InMS int64 `cbor:"3,keyasint,omitempty"`
	}

	// totals is a hub's report about the daemons of its totals or sums, and about its reads.
	totals struct {
		// Daemons is the number of daemons, the hub included.
		Daemons int `cbor:"1,keyasint"`
		// Silent is the number of those that the hub receives no messages from.
		Silent int `cbor:"8,keyasint,omitempty"`
		// OperatorsAgeMS is the time since the last read of the operators' stream that informs the
		// hub, in sums since its own. That of the endpoints is in the message.
		OperatorsAgeMS int64 `cbor:"3,keyasint"`
		// OperatorsNext is the offset after the last operators' record that the hub has read, in the
		// era OperatorsEra of the log.
		OperatorsNext int64 `cbor:"9,keyasint,omitempty"`
		OperatorsEra  int64 `cbor:"10,keyasint,omitempty"`
		// EndpointsNext is the offset after the last endpoint record that the hub has read, in the era
		// EndpointsEra, and Roster the hash of the endpoints at that position.
		EndpointsNext int64  `cbor:"5,keyasint"`
		EndpointsEra  int64  `cbor:"11,keyasint,omitempty"`
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

// operatorsEnd returns the position after the last operators' record that the hub has read.
func (t totals) operatorsEnd() value.Position {
	return value.Position{Era: t.OperatorsEra, Offset: t.OperatorsNext}
}

// endpointsEnd returns the position after the last endpoint record that the hub has read.
func (t totals) endpointsEnd() value.Position {
	return value.Position{Era: t.EndpointsEra, Offset: t.EndpointsNext}
}

// withEnds returns the totals with the positions up to which the hub has read.
func (t totals) withEnds(operators, endpoints value.Position) totals {
	t.OperatorsEra, t.OperatorsNext = operators.Era, operators.Offset
	t.EndpointsEra, t.EndpointsNext = endpoints.Era, endpoints.Offset
	return t
}

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

// ago returns the time at which something was that old in milliseconds.
func ago(ageMS int64, now time.Time) time.Time {
	return now.Add(-time.Duration(ageMS) * time.Millisecond)
}

// report returns what the message says about its sender.
func (m message) report(address string, now time.Time) hubs.Report {
	return hubs.Report{
		Member: hubs.Member{
			Name: m.Daemon, Address: address, Control: m.Control, DataCentre: m.DataCentre, Speed: m.Speed, Incarnation: m.Incarnation,
		},
		Config: m.Config, HoldsLease: m.Fence > 0, ReadAt: ago(m.ReadAgeMS, now), OwnReadAt: ago(m.OwnReadAgeMS, now),
	}
}

// report returns what a referral says about its subject.
func (r referral) report(now time.Time) hubs.Report {
	return hubs.Report{
		Member: hubs.Member{
			Name: r.Name, Address: r.Address, Control: r.Control, DataCentre: r.DataCentre, Speed: r.Speed, Incarnation: r.Incarnation,
		},
		Config: r.Config, HoldsLease: r.HoldsLease, ReadAt: ago(r.ReadAgeMS, now), OwnReadAt: ago(r.OwnReadAgeMS, now),
		SeenAt: ago(r.SeenAgeMS, now),
	}
}

// newLeave returns a leave for a message.
func newLeave(l hubs.Leave, now time.Time) leave {
	return leave{Name: l.Name, Incarnation: l.Incarnation, InMS: max(0, l.At.Sub(now).Milliseconds())}
}

// received returns the leave by the receiver's clock.
func (l leave) received(now time.Time) hubs.Leave {
	left := min(time.Duration(max(0, min(l.InMS, maxAge.Milliseconds())))*time.Millisecond, maxAge)
	return hubs.Leave{Name: l.Name, Incarnation: l.Incarnation, At: now.Add(left)}
}

// newReferral returns the referral of a report.
func newReferral(r hubs.Report, now time.Time) referral {
	return referral{
		Name: r.Name, Address: r.Address, Control: r.Control, DataCentre: r.DataCentre, Speed: r.Speed, Incarnation: r.Incarnation,
		Config: r.Config, HoldsLease: r.HoldsLease, ReadAgeMS: ageMS(r.ReadAt, now), OwnReadAgeMS: ageMS(r.OwnReadAt, now),
		SeenAgeMS: ageMS(r.SeenAt, now),
	}
}

// ageMS returns the age of a time in milliseconds, at most maxAge, which also stands for a time that
// is not set.
func ageMS(at, now time.Time) int64 {
	return min(now.Sub(at), maxAge).Milliseconds()
}

// maxAge limits the ages in messages.
const maxAge = time.Hour
