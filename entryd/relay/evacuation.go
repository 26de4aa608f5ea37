package relay

import (
	"errors"
	"maps"
	"slices"
	"time"

	"lentilstage.dev/decide/homes"
	"lentilstage.dev/decide/roster"
	"lentilstage.dev/decide/vacate"
	"lentilstage.dev/domain/setup"
	"lentilstage.dev/domain/value"
)

type (
	// evacuationChange is a change of an evacuation with what it means here.
	evacuationChange struct {
		vacate.Change
		// endpoints are those in the data centre, ready the number of them that are ready, and readyElsewhere the
		// number of ready endpoints in data centres that are not evacuated.
		endpoints             []setup.Endpoint
		ready, readyElsewhere int
	}
)

const (
	// evacuationsInterval is the pause between messages of one kind with the records of evacuations. The records are
	// forwarded at once when they are read; the repetition reaches daemons that have missed them. A record takes
	// about 60 bytes.
	evacuationsInterval = time.Second
	// inEvacuation means that an endpoint's data centre is evacuated.
	inEvacuation roster.Reason = "Evacuated"
	// outsideHomes means that an endpoint's data centre is in no region that the route and the account allow.
	outsideHomes roster.Reason = "NoHome"
)

// applyEvacuationRecord applies an operators' record that may order an evacuation or withdraw one. It reports whether
// it is of that kind.
func (d *Daemon) applyEvacuationRecord(r Record) bool {
	if r.Key == "" {
		return false
	}
	dataCentre, err := d.codec.Evacuation(r.Key)
	if errors.Is(err, ErrOtherRecordKind) {
		return false
	}
	if err != nil {
		d.logger.WithName("evacuation").Info("Record invalid.", "Key", r.Key, "Offset", r.Offset, "Error", err.Error())
		return true
	}
	d.reportEvacuations(d.tables.recordEvacuation(dataCentre, r, d.clock.now()))
	return true
}

// applyOperatorListing applies the keys of a full read of the operators' stream up to the position end.
func (d *Daemon) applyOperatorListing(end value.Position, keys []string) {
	var dataCentres []string
	for _, key := range keys {
		if dataCentre, err := d.codec.Evacuation(key); err == nil {
			dataCentres = append(dataCentres, dataCentre)
		}
	}
	d.reportEvacuations(d.tables.listEvacuations(end, dataCentres, d.clock.now()))
}

// reportEvacuations logs changes of evacuations, and closes the idle connections to the endpoints concerned.
func (d *Daemon) reportEvacuations(changes []evacuationChange) {
	logger := d.logger.WithName("evacuation")
	for _, c := range changes {
		fields := []any{
			"DataCentre", c.DataCentre, "Endpoints", len(c.endpoints), "Ready", c.ready, "ReadyElsewhere", c.readyElsewhere,
			"Era", c.Position.Era, "Offset", c.Position.Offset, "BoundMilliseconds", d.settings.Limits.EvacuationTime.Milliseconds(),
		}
		switch c.Reason {
		case vacate.Begun:
			d.meters.count("Evacuations.Begun")
			logger.Info("Evacuation begun.", fields...)
			if len(c.endpoints) == 0 {
				logger.Info("Evacuation of a data centre without endpoints.", "DataCentre", c.DataCentre)
			}
			if c.readyElsewhere == 0 {
				logger.Info("No endpoint is left outside evacuated data centres.", "DataCentre", c.DataCentre)
			}
			for _, e := range c.endpoints {
				d.pool.closeIdle(e.Address)
			}
		case vacate.Ended:
			d.meters.count("Evacuations.Ended")
			logger.Info("Evacuation ended.", fields...)
		case vacate.Repeated:
			logger.Info("Evacuation ordered again; it is in force.", fields...)
		case vacate.NotInForce:
			logger.Info("Evacuation withdrawn; none is in force.", fields...)
		case vacate.Kept:
			logger.Info("Evacuation is missing in the restored log; it stays in force.", fields...)
		}
	}
	if len(changes) > 0 {
		inForce, endpoints := d.tables.evacuatedCounts(d.clock.now())
		d.meters.setGauge("Evacuations.InForce", int64(inForce))
		d.meters.setGauge("Evacuations.Endpoints", int64(endpoints))
	}
}

// recordEvacuation applies a record that orders the evacuation of a data centre, or withdraws it if it has no value.
func (t *tables) recordEvacuation(dataCentre string, r Record, now time.Time) []evacuationChange {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	m := vacate.Recorded{DataCentre: dataCentre, Position: r.Position(), Evacuated: len(r.Value) > 0}
	// The key and the value outlive the record, for other daemons; the position is that of the state.
	known := t.evacuationRecords[dataCentre]
	known.Key = r.Key
	if m.Evacuated {
		known.Value = r.Value
	}
	t.evacuationRecords[dataCentre] = known
	return t.updateEvacuations(m, now)
}

// listEvacuations applies the data centres with an order in a full read up to the position end.
func (t *tables) listEvacuations(end value.Position, dataCentres []string, now time.Time) []evacuationChange {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.operatorsListed = true
	return t.updateEvacuations(vacate.Listed{End: end, DataCentres: dataCentres}, now)
}

// updateEvacuations updates the state and returns the changes. The caller holds the lock.
func (t *tables) updateEvacuations(m vacate.Message, now time.Time) []evacuationChange {
	var changes []vacate.Change
	if t.evacuations, changes = t.evacuations.Update(m); len(changes) == 0 {
		return nil
	}
	t.refresh(now)
	maps.DeleteFunc(t.evacuationRecords, func(name string, _ Record) bool { return !t.evacuations.Known(name) })
	// The next message of each kind has it.
	t.digestEvacuations, t.sumEvacuations, t.totalEvacuations = time.Time{}, time.Time{}, time.Time{}
	reported := make([]evacuationChange, 0, len(changes))
	for _, c := range changes {
		change := evacuationChange{Change: c}
		for _, e := range t.endpoints {
			switch {
			case e.DataCentre == c.DataCentre:
				change.endpoints = append(change.endpoints, e)
				if e.State == setup.Ready {
					change.ready++
				}
			case t.available(e):
				change.readyElsewhere++
			}
		}
		reported = append(reported, change)
	}
	return reported
}

// available reports whether an endpoint may get requests: it is ready, and its data centre is not evacuated. The caller
// holds the lock.
func (t *tables) available(e setup.Endpoint) bool {
	return e.State == setup.Ready && !t.evacuations.Evacuated(e.DataCentre)
}

// evacuatedCounts returns the number of evacuated data centres and of the endpoints there.
func (t *tables) evacuatedCounts(now time.Time) (dataCentres, endpoints int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refresh(now)
	for _, e := range t.endpoints {
		if t.evacuations.Evacuated(e.DataCentre) {
			endpoints++
		}
	}
	return len(t.evacuations.InForce()), endpoints
}

// evacuated returns the evacuated data centres.
func (t *tables) evacuated() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.evacuations.InForce()
}

// barred reports whether the service has ready endpoints of which none may get a request with the rule, and why: they are
// outside the allowed regions, or those within are in evacuated data centres.
func (t *tables) barred(service string, rule homes.Rule, now time.Time) (roster.Reason, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refresh(now)
	ready := slices.DeleteFunc(slices.Clone(t.endpoints), func(e setup.Endpoint) bool { return e.Service != service || e.State != setup.Ready })
	allowed := slices.DeleteFunc(slices.Clone(ready), func(e setup.Endpoint) bool { return !t.regions.Allow(rule, e.DataCentre) })
	switch {
	case len(ready) > 0 && len(allowed) == 0:
		return outsideHomes, true
	case len(allowed) > 0 && !slices.ContainsFunc(allowed, t.available):
		return inEvacuation, true
	}
	return "", false
}

// evacuationReports returns the newest records of evacuations for a message, if one is due since the last message of
// this kind. The caller holds the lock.
func (t *tables) evacuationReports(sentAt *time.Time, now time.Time) []Record {
	if now.Sub(*sentAt) < evacuationsInterval {
		return nil
	}
	*sentAt = now
	return t.newestEvacuations()
}

// newestEvacuations returns the newest record of each data centre that was ever evacuated, withdrawals included. The
// caller holds the lock.
func (t *tables) newestEvacuations() []Record {
	var records []Record
	for _, e := range t.evacuations.Records() {
		r := t.evacuationRecords[e.DataCentre]
		r.Era, r.Offset = e.Position.Era, e.Position.Offset
		if !e.Evacuated {
			r.Value = nil
		}
		records = append(records, r)
	}
	return records
}

// markOperatorsListed records that the operators' records are known, from a daemon that had read them.
func (t *tables) markOperatorsListed() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.operatorsListed = true
}
