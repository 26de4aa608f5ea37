package main

import (
	"bufio"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"
	"os"

	"github.com/rotisserie/eris"
)

type (
	// load is a recorded part of a day: the requests that daemons admitted to one service of
	// engines, and the changes of its endpoints. All times are in milliseconds since the start of
	// the recording.
	load struct {
		Engine   engineSpec
		Arrivals []arrival
		Changes  []endpointChange
		// Speeds are the speeds of the endpoints as multiples of that of Engine, and Phases their slow phases. Recorded
		// loads have neither.
		Speeds map[string]float64
		Phases slowPhases
	}

	// engineSpec is the stated performance of an engine.
	engineSpec struct {
		// Slots is the number of requests that run at once, Memory the number of tokens that fit
		// in the engine's memory.
		Slots  int `json:"Slots"`
		Memory int `json:"Memory"`
		// StepMS is the time in milliseconds of a step that only generates; ReadPerMS is the number
		// of prompt tokens that the engine reads (prefills) per millisecond.
		StepMS    float64 `json:"StepMS"`
		ReadPerMS float64 `json:"ReadPerMS"`
		// FirstMS is the fixed part of the time to the first token in milliseconds.
		FirstMS float64 `json:"FirstMS,omitempty"`
	}

	// arrival is one admitted request with the inputs of the decisions.
	arrival struct {
		At      float64 `json:"At"`
		Daemon  string  `json:"Daemon"`
		Route   string  `json:"Route"`
		Session string  `json:"Session,omitempty"`
		Prompt  int     `json:"Prompt"`
		Shared  int     `json:"Shared,omitempty"`
		Answer  int     `json:"Answer"`
		Target  int     `json:"Target"`
		Left    int     `json:"Left"`
		Rank    int     `json:"Rank,omitempty"`
		// Account is the number of the client account and Kind that of the kind of request in simulated loads.
		Account string `json:"Account,omitempty"`
		Kind    int    `json:"Kind,omitempty"`
		// First is the time to the first event as measured by the daemon, negative if there was none.
		First int `json:"First"`
	}

	// endpointChange records that an endpoint joined or left.
	endpointChange struct {
		At         float64 `json:"At"`
		Endpoint   string  `json:"Endpoint"`
		DataCentre string  `json:"DataCentre"`
		Ready      bool    `json:"Ready"`
	}

	// loadLine is one line of a load file. The first line holds the engine spec, each later line an
	// arrival or a change.
	loadLine struct {
		Engine  *engineSpec     `json:"Engine,omitempty"`
		Arrival *arrival        `json:"Arrival,omitempty"`
		Change  *endpointChange `json:"Change,omitempty"`
	}
)

var errLoad = eris.New("not a load file")

// readLoad reads a compressed load file. It returns errLoad, wrapped with the line number if
// there is one, if the file is not a valid load.
func readLoad(path string) (load, error) {
	file, err := os.Open(path)
	if err != nil {
		return load{}, eris.Wrap(err, "open load file")
	}
	defer func() { _ = file.Close() }()
	unpacked, err := gzip.NewReader(file)
	if err != nil {
		return load{}, eris.Wrapf(errLoad, "%s: %v", path, err)
	}
	var l load
	lines := bufio.NewScanner(unpacked)
	for number := 1; lines.Scan(); number++ {
		var line loadLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return load{}, eris.Wrapf(errLoad, "%s: line %d: %v", path, number, err)
		}
		switch {
		case number == 1 && line.Engine != nil:
			l.Engine = *line.Engine
		case number > 1 && line.Arrival != nil:
			l.Arrivals = append(l.Arrivals, *line.Arrival)
		case number > 1 && line.Change != nil:
			l.Changes = append(l.Changes, *line.Change)
		default:
			return load{}, eris.Wrapf(errLoad, "%s: line %d: want the engine spec on line 1 and an arrival or a change on each later line", path, number)
		}
	}
	if err := lines.Err(); err != nil {
		return load{}, eris.Wrapf(errLoad, "%s: %v", path, err)
	}
	return l, l.check(path)
}

// check returns errLoad if the load cannot be replayed.
func (l load) check(path string) error {
	e := l.Engine
	if e.Slots < 1 || e.Memory < 1 || e.StepMS <= 0 || e.ReadPerMS <= 0 || e.FirstMS < 0 {
		return eris.Wrapf(errLoad, "%s: engine spec %+v: FirstMS must not be negative, and all other values must be positive", path, e)
	}
	if len(l.Arrivals) == 0 || len(l.Changes) == 0 {
		return eris.Wrapf(errLoad, "%s: %d arrivals and %d endpoint changes; at least one of each is needed", path, len(l.Arrivals), len(l.Changes))
	}
	return nil
}

// writeLoad writes a load to a compressed file, which it creates or truncates.
func writeLoad(path string, l load) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create load file")
	}
	packed := gzip.NewWriter(file)
	err = errors.Join(l.encode(packed), packed.Close(), file.Close())
	return eris.Wrapf(err, "write %s", path)
}

func (l load) encode(w io.Writer) error {
	encoder := json.NewEncoder(w)
	if err := encoder.Encode(loadLine{Engine: &l.Engine}); err != nil {
		return err
	}
	for _, c := range l.Changes {
		if err := encoder.Encode(loadLine{Change: &c}); err != nil {
			return err
		}
	}
	for _, a := range l.Arrivals {
		if err := encoder.Encode(loadLine{Arrival: &a}); err != nil {
			return err
		}
	}
	return nil
}
