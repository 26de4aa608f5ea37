package relay

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"lentilstage.dev/decide/pace"
	"lentilstage.dev/domain/setup"
)

type (
	// endpointSpeeds holds the speeds of the endpoints as multiples of the usual speed of their services. A hub estimates
	// them from what all daemons observe; a follower has those of its hub's totals. Endpoints have keys that a
	// restart changes, so that what is told of an ended process has no effect.
	endpointSpeeds struct {
		keys  map[string]uint32
		known map[uint32]bool
		// services are the keys of the ready endpoints by service.
		services map[string][]uint32
		// own is what this daemon has observed and not reported yet. centre is what was observed in this data centre
		// and not reported to other hubs yet.
		own, centre map[uint32]pace.Tally
		estimates   *pace.Speeds
		// heard are the logarithms of speeds in the hub's totals.
		heard map[uint32]float64
		// compared holds the speeds in use by service, as of comparedAt.
		compared   map[string]pace.Comparison
		comparedAt time.Time
		// followed reports whether compared comes from a hub's totals.
		followed bool
		// cursor is the key at which the next totals start.
		cursor uint32
		// logged are the logarithms that were last logged, by service and endpoint.
		logged map[string]map[string]float64
	}

	// speedTallies holds tallies of observations, each as the key of an endpoint, the mean logarithm in steps of
	// pace.LogStep and the count.
	speedTallies []byte

	// speedLogs holds speeds, each as the key of an endpoint and the logarithm in steps of pace.LogStep.
	speedLogs []byte

	// speedChange is a change of the speeds that is to be logged. Endpoint is empty for one of the whole service.
	speedChange struct {
		service, endpoint string
		differ            bool
		speed, deviation  float64
	}
)

const (
	// compareInterval is the pause between comparisons of the endpoints' speeds.
	compareInterval = 500 * time.Millisecond
	// keyBytes, tallyBytes and logBytes are the lengths of a key and of the entries of speedTallies and speedLogs.
	keyBytes   = 4
	tallyBytes = keyBytes + 2
	logBytes   = keyBytes + 1
	// maxTalliesPerMessage and maxSpeedsPerMessage bound the entries of a message. What is left goes into the next.
	maxTalliesPerMessage = 100
	maxSpeedsPerMessage  = 120
	// minLoggedStep is the change of a speed's logarithm from which it is logged, about 13%.
	minLoggedStep = 4 * pace.LogStep
)

var errSpeeds = eris.New("malformed speeds")

func newEndpointSpeeds() *endpointSpeeds {
	return &endpointSpeeds{
		keys: map[string]uint32{}, known: map[uint32]bool{}, services: map[string][]uint32{},
		own: map[uint32]pace.Tally{}, centre: map[uint32]pace.Tally{}, estimates: pace.NewSpeeds(),
		heard: map[uint32]float64{}, compared: map[string]pace.Comparison{}, logged: map[string]map[string]float64{},
	}
}

// speedKey returns the key of an endpoint's process.
func speedKey(e setup.Endpoint) uint32 {
	return uint32(xxhash.Sum64String(e.ID + "/" + strconv.FormatInt(e.StartedAtMS, 10)))
}

// checkSpeeds returns errSpeeds if the speeds in a message are malformed.
func (m message) checkSpeeds() error {
	if len(m.Observed)%tallyBytes != 0 || len(m.Observed) > maxTalliesPerMessage*tallyBytes {
		return eris.Wrapf(errSpeeds, "%d bytes of observations", len(m.Observed))
	}
	for entry := range slices.Chunk(m.Observed, tallyBytes) {
		if _, t := decodeTally(entry); t.Count == 0 || math.Abs(t.Mean()) > pace.MaxLog+pace.LogStep {
			return eris.Wrapf(errSpeeds, "%d observations with a mean of %.2f", t.Count, t.Mean())
		}
	}
	if len(m.Speeds)%logBytes != 0 || len(m.Speeds) > maxSpeedsPerMessage*logBytes || m.SpeedsFrom > m.SpeedsTo {
		return eris.Wrapf(errSpeeds, "%d bytes of speeds from %d to %d", len(m.Speeds), m.SpeedsFrom, m.SpeedsTo)
	}
	for entry := range slices.Chunk(m.Speeds, logBytes) {
		key, logarithm := decodeLog(entry)
		if key < m.SpeedsFrom || key > m.SpeedsTo || math.Abs(logarithm) > pace.MaxLog+pace.LogStep {
			return eris.Wrapf(errSpeeds, "logarithm %.2f of key %d", logarithm, key)
		}
	}
	return nil
}

func encodeStep(logarithm float64) byte {
	return byte(int8(math.Round(pace.Quantize(logarithm) / pace.LogStep)))
}

func decodeStep(step byte) float64 { return float64(int8(step)) * pace.LogStep }

func decodeTally(entry []byte) (uint32, pace.Tally) {
	count := int(entry[keyBytes+1])
	return binary.BigEndian.Uint32(entry), pace.Tally{Sum: decodeStep(entry[keyBytes]) * float64(count), Count: count}
}

func encodeLog(key uint32, logarithm float64) []byte {
	return append(binary.BigEndian.AppendUint32(nil, key), encodeStep(logarithm))
}

func decodeLog(entry []byte) (uint32, float64) {
	return binary.BigEndian.Uint32(entry), decodeStep(entry[keyBytes])
}

// list takes up the known endpoints and removes the state of others.
func (s *endpointSpeeds) list(endpoints []setup.Endpoint) {
	s.keys, s.known, s.services = make(map[string]uint32, len(endpoints)), make(map[uint32]bool, len(endpoints)), map[string][]uint32{}
	for _, e := range endpoints {
		key := speedKey(e)
		s.keys[e.ID], s.known[key] = key, true
		if e.State == setup.Ready {
			s.services[e.Service] = append(s.services[e.Service], key)
		}
	}
	s.estimates.Retain(s.known)
	unknown := func(key uint32, _ pace.Tally) bool { return !s.known[key] }
	maps.DeleteFunc(s.own, unknown)
	maps.DeleteFunc(s.centre, unknown)
	maps.DeleteFunc(s.heard, func(key uint32, _ float64) bool { return !s.known[key] })
}

// factor returns an endpoint's speed as a multiple of the usual one; 0 if the endpoints of its service don't differ.
func (s *endpointSpeeds) factor(e setup.Endpoint) float64 {
	return s.compared[e.Service].Factor(s.keys[e.ID])
}

// record returns a function that records the logarithm of a speed that a response of an endpoint has shown.
func (s *endpointSpeeds) record(e setup.Endpoint) func(observed float64, known bool) {
	return func(observed float64, known bool) {
		key := speedKey(e)
		if !known || !s.known[key] {
			return
		}
		s.own[key] = s.own[key].With(observed, s.compared[e.Service].Logs[key])
	}
}

// drain returns the tallies for a message, at most as many as it holds, and removes them. They are taken in the random
// order of the map.
func (s *endpointSpeeds) drain(tallies map[uint32]pace.Tally) speedTallies {
	var encoded speedTallies
	for key, t := range tallies {
		if len(encoded) == maxTalliesPerMessage*tallyBytes {
			break
		}
		encoded = binary.BigEndian.AppendUint32(encoded, key)
		encoded = append(encoded, encodeStep(t.Mean()), byte(t.Count))
		delete(tallies, key)
	}
	return encoded
}

// apply adds observations of other daemons, in the own data centre or in another one.
func (s *endpointSpeeds) apply(observed speedTallies, ownCentre bool, now time.Time) {
	for entry := range slices.Chunk(observed, tallyBytes) {
		key, t := decodeTally(entry)
		if !s.known[key] {
			continue
		}
		s.estimates.Add(key, t, now)
		if ownCentre {
			s.centre[key] = s.centre[key].Plus(t)
		}
	}
}

// fill sets the speeds in totals. Those of services whose endpoints don't differ are left out.
func (s *endpointSpeeds) fill(m *message) {
	logs := map[uint32]float64{}
	for _, c := range s.compared {
		if c.Differ {
			maps.Copy(logs, c.Logs)
		}
	}
	keys := slices.Sorted(maps.Keys(logs))
	m.SpeedsFrom, m.SpeedsTo = 0, math.MaxUint32
	if len(keys) > maxSpeedsPerMessage {
		first, _ := slices.BinarySearch(keys, s.cursor)
		m.SpeedsFrom, keys, s.cursor = s.cursor, keys[first:], 0
		if len(keys) > maxSpeedsPerMessage {
			s.cursor = keys[maxSpeedsPerMessage]
			m.SpeedsTo, keys = s.cursor-1, keys[:maxSpeedsPerMessage]
		}
	}
	for _, key := range keys {
		m.Speeds = append(m.Speeds, encodeLog(key, logs[key])...)
	}
}

// applyHub applies the speeds in the hub's totals. Totals of a hub of an earlier build cover no keys.
func (s *endpointSpeeds) applyHub(m message) {
	if m.SpeedsTo == 0 {
		return
	}
	maps.DeleteFunc(s.heard, func(key uint32, _ float64) bool { return key >= m.SpeedsFrom && key <= m.SpeedsTo })
	for entry := range slices.Chunk(m.Speeds, logBytes) {
		if key, logarithm := decodeLog(entry); s.known[key] {
			s.heard[key] = logarithm
		}
	}
}

// seed makes the speeds that were heard from the last hub the beginning of this daemon's own estimates.
func (s *endpointSpeeds) seed(now time.Time) {
	for key, logarithm := range s.heard {
		s.estimates.Seed(key, logarithm, now)
	}
	clear(s.heard)
}

// compare updates the speeds in use if that is due.
func (s *endpointSpeeds) compare(followsHub bool, now time.Time) {
	if now.Sub(s.comparedAt) < compareInterval {
		return
	}
	s.comparedAt = now
	if followsHub && !s.followed {
		// A hub that becomes a follower keeps its speeds until the new hub's totals have covered all keys.
		for _, c := range s.compared {
			if c.Differ {
				maps.Copy(s.heard, c.Logs)
			}
		}
	}
	s.followed = followsHub
	if !followsHub {
		for key, t := range s.own {
			s.estimates.Add(key, t, now)
			s.centre[key] = s.centre[key].Plus(t)
		}
		clear(s.own)
	}
	compared := make(map[string]pace.Comparison, len(s.services))
	for service, keys := range s.services {
		if !followsHub {
			compared[service] = s.estimates.Compare(keys, s.compared[service].Differ, now)
			continue
		}
		c := pace.Comparison{Logs: map[uint32]float64{}}
		for _, key := range keys {
			if logarithm, ok := s.heard[key]; ok {
				c.Differ, c.Logs[key] = true, logarithm
			}
		}
		compared[service] = c
	}
	s.compared = compared
}

// changes returns what has changed since the last call and is to be logged. A hub reports each endpoint, a follower
// only whether those of a service differ.
func (s *endpointSpeeds) changes(endpoints []setup.Endpoint, followsHub bool) []speedChange {
	var changes []speedChange
	for service, c := range s.compared {
		if _, differed := s.logged[service]; differed == c.Differ {
			continue
		}
		changes = append(changes, speedChange{service: service, differ: c.Differ})
		delete(s.logged, service)
		if c.Differ {
			s.logged[service] = map[string]float64{}
		}
	}
	if followsHub {
		return changes
	}
	for _, e := range endpoints {
		c, logged := s.compared[e.Service], s.logged[e.Service]
		logarithm, known := c.Logs[s.keys[e.ID]]
		if !c.Differ || !known || math.Abs(logarithm-logged[e.ID]) < minLoggedStep {
			continue
		}
		logged[e.ID] = logarithm
		changes = append(changes, speedChange{
			service: e.Service, endpoint: e.ID, differ: true, speed: math.Exp(logarithm), deviation: c.Errors[s.keys[e.ID]],
		})
	}
	return changes
}

// updateSpeeds updates the speeds in use and returns what is to be logged, and how many speeds are known and how many
// of them are slow.
func (t *tables) updateSpeeds(now time.Time) (changes []speedChange, known, slow int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refresh(now)
	t.speeds.compare(t.followsHub, now)
	for _, c := range t.speeds.compared {
		known += len(c.Logs)
		for _, logarithm := range c.Logs {
			if c.Differ && logarithm < -minLoggedStep {
				slow++
			}
		}
	}
	return t.speeds.changes(t.endpoints, t.followsHub), known, slow
}

// logSpeeds updates the speeds of the endpoints and logs changes.
func (d *Daemon) logSpeeds() {
	changes, known, slow := d.tables.updateSpeeds(d.clock.now())
	d.meters.setGauge("Speeds.Known", int64(known))
	d.meters.setGauge("Speeds.Slow", int64(slow))
	logger := d.logger.WithName("speeds")
	for _, c := range changes {
		if c.endpoint == "" {
			d.meters.count("Speeds.Changes")
			logger.Info("Endpoints compared.", "Service", c.service, "Differ", c.differ)
			continue
		}
		logger.Info("Endpoint speed.", "Service", c.service, "Endpoint", c.endpoint, "Speed", round(c.speed), "Error", round(c.deviation))
	}
}

// round returns a number rounded to two decimals, for a log line.
func round(number float64) float64 { return math.Round(number*100) / 100 }
