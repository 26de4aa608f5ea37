package fleet

import (
	"maps"
	"slices"
	"time"

	"lentilstage.dev/wire/wire"
)

type (
	// DemandSettings are the parameters of the demand estimate.
	DemandSettings struct {
		// Window is the time for which a peak counts in full.
		Window time.Duration
		// Decay is the time after the window over which the weight of a peak falls linearly to 0.
		Decay time.Duration
		// Headroom is the fraction of the peak that is added to it.
		Headroom float64
	}

	// LoadSample is the load of a version at one time, summed over all its endpoints.
	LoadSample struct {
		Time    time.Time
		Version string
		// Running and Queued count requests.
		Running, Queued float64
		// RequestsPerReplica is the number of concurrent requests that a replica serves within the
		// latency target.
		RequestsPerReplica float64
	}

	// Demand tracks the trailing peak demand of each version. It is immutable.
	Demand struct {
		settings DemandSettings
		since    time.Time
		peaks    map[string][]peak
	}

	// peak is the highest demand within one bucket of the window.
	peak struct {
		start    time.Time
		replicas float64
	}
)

// windowBuckets is the number of buckets that a window is divided into; each keeps one peak.
const windowBuckets = 24

// DefaultDemandSettings returns settings with a window of one hour. Peaks are shorter than the
// cold start, so only instances kept from earlier peaks can serve the next one.
func DefaultDemandSettings() DemandSettings {
	return DemandSettings{Window: time.Hour, Decay: 2 * time.Hour, Headroom: 0.05}
}

// SampleLoads returns one sample per version from the load reports of engines. The load of an
// engine with several versions is divided equally among them. The reports lag by up to a few
// seconds and don't include requests that are queued outside the engines.
func SampleLoads(at time.Time, loads []wire.EngineLoad, perReplica float64) []LoadSample {
	running, queued := make(map[string]float64), make(map[string]float64)
	for _, l := range loads {
		for _, v := range l.Versions {
			running[v] += float64(l.Running) / float64(len(l.Versions))
			queued[v] += float64(l.Queued) / float64(len(l.Versions))
		}
	}
	var samples []LoadSample
	for _, v := range slices.Sorted(maps.Keys(running)) {
		samples = append(samples, LoadSample{Time: at, Version: v, Running: running[v], Queued: queued[v], RequestsPerReplica: perReplica})
	}
	return samples
}

// NewDemand returns the empty demand of a daemon that has observed load since the given time.
func NewDemand(settings DemandSettings, since time.Time) Demand {
	return Demand{settings: settings, since: since}
}

// With returns the demand with further samples. Samples without a positive RequestsPerReplica are
// ignored.
func (d Demand) With(samples ...LoadSample) Demand {
	next := maps.Clone(d.peaks)
	if next == nil {
		next = make(map[string][]peak)
	}
	bucketWidth := max(d.settings.Window/windowBuckets, time.Second)
	for _, s := range samples {
		if s.RequestsPerReplica <= 0 {
			continue
		}
		replicas := (s.Running + s.Queued) / s.RequestsPerReplica
		start := s.Time.Truncate(bucketWidth)
		oldest := s.Time.Add(-d.settings.Window - d.settings.Decay - bucketWidth)
		peaks := slices.DeleteFunc(slices.Clone(next[s.Version]), func(p peak) bool { return p.start.Before(oldest) })
		if n := len(peaks); n > 0 && !start.After(peaks[n-1].start) {
			peaks[n-1].replicas = max(peaks[n-1].replicas, replicas)
		} else {
			peaks = append(peaks, peak{start: start, replicas: replicas})
		}
		next[s.Version] = peaks
	}
	d.peaks = next
	return d
}

// Replicas returns the number of replicas to plan for: the highest weighted peak plus the
// headroom. Peaks within the window have weight 1; the weight of older ones declines to 0.
func (d Demand) Replicas(version string, now time.Time) float64 {
	highest := 0.0
	bucketWidth := max(d.settings.Window/windowBuckets, time.Second)
	for _, p := range d.peaks[version] {
		weight := 1.0
		if age := now.Sub(p.start.Add(bucketWidth)); age > d.settings.Window {
			weight = 0
			if d.settings.Decay > 0 {
				weight = max(0, 1-float64(age-d.settings.Window)/float64(d.settings.Decay))
			}
		}
		highest = max(highest, p.replicas*weight)
	}
	return highest * (1 + d.settings.Headroom)
}

// CoversWindow reports whether load has been observed for a whole window.
func (d Demand) CoversWindow(now time.Time) bool {
	return !now.Before(d.since.Add(d.settings.Window))
}
