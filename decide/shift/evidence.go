package shift

import (
	"fmt"

	"lentilstage.dev/decide/odds"
)

type (
	// Tally counts trials of one property at the new and at the old version, and those of them that went
	// badly.
	Tally struct {
		_      struct{} `cbor:",toarray"`
		New    int64
		NewBad int64
		Old    int64
		OldBad int64
	}

	// Evidence compares the new version with the old one in a roll-out. Both served in the same time.
	Evidence struct {
		// Failures counts answers, First those by the time to their first event, Pace by the time between
		// their events. The last two are bad if they are slow for the old version: see Reference.
		Failures Tally `cbor:"1,keyasint"`
		First    Tally `cbor:"2,keyasint"`
		Pace     Tally `cbor:"3,keyasint"`
		// Loaded are the same of the load test, when the new version gets another share of the requests. Trials of both
		// times together would make its share too low for one of them.
		Loaded Tallies `cbor:"4,keyasint"`
	}

	// Tallies are the tallies of all properties.
	Tallies struct {
		_        struct{} `cbor:",toarray"`
		Failures Tally
		First    Tally
		Pace     Tally
	}

	// Property is a property in which versions are compared.
	Property string
)

const (
	// Failing, SlowFirst and SlowPace are the properties of Evidence.
	Failing   Property = "Failing"
	SlowFirst Property = "SlowFirst"
	SlowPace  Property = "SlowPace"

	// stopStrength is the strength at which the new version is stopped. A version that is not worse than the old one
	// reaches it with a probability of at most 1 in 50 in the load test, before it, and in both together, however often
	// the test is made.
	stopStrength = 50
	// lostStopStrength is the strength of lost endpoints at which the new version is stopped: that of one property
	// that makes stopStrength the mean over all.
	lostStopStrength = properties * stopStrength
	// holdStrength is the strength at which a roll-out is not completed.
	holdStrength = 10
	// properties is the number of properties that are tested.
	properties = 3
)

// Plus returns the sum of both.
func (t Tally) Plus(o Tally) Tally {
	return Tally{New: t.New + o.New, NewBad: t.NewBad + o.NewBad, Old: t.Old + o.Old, OldBad: t.OldBad + o.OldBad}
}

// Minus returns the difference of both.
func (t Tally) Minus(o Tally) Tally {
	return Tally{New: t.New - o.New, NewBad: t.NewBad - o.NewBad, Old: t.Old - o.Old, OldBad: t.OldBad - o.OldBad}
}

// With returns the tally with one more trial.
func (t Tally) With(isNew, bad bool) Tally {
	count := int64(0)
	if bad {
		count = 1
	}
	if isNew {
		return t.Plus(Tally{New: 1, NewBad: count})
	}
	return t.Plus(Tally{Old: 1, OldBad: count})
}

// String returns the bad trials of all, of the new version and of the old one.
func (t Tally) String() string {
	return fmt.Sprintf("%d/%d %d/%d", t.NewBad, t.New, t.OldBad, t.Old)
}

// Plus returns the sum of both.
func (e Evidence) Plus(o Evidence) Evidence {
	return Evidence{
		Failures: e.Failures.Plus(o.Failures), First: e.First.Plus(o.First), Pace: e.Pace.Plus(o.Pace),
		Loaded: Tallies{
			Failures: e.Loaded.Failures.Plus(o.Loaded.Failures), First: e.Loaded.First.Plus(o.Loaded.First),
			Pace: e.Loaded.Pace.Plus(o.Loaded.Pace),
		},
	}
}

// Minus returns the difference of both.
func (e Evidence) Minus(o Evidence) Evidence {
	return Evidence{
		Failures: e.Failures.Minus(o.Failures), First: e.First.Minus(o.First), Pace: e.Pace.Minus(o.Pace),
		Loaded: Tallies{
			Failures: e.Loaded.Failures.Minus(o.Loaded.Failures), First: e.Loaded.First.Minus(o.Loaded.First),
			Pace: e.Loaded.Pace.Minus(o.Loaded.Pace),
		},
	}
}

// With returns the evidence with more trials of a property, from the load test or from before it.
func (e Evidence) With(property Property, loaded bool, trials Tally) Evidence {
	tallies := map[Property]*Tally{Failing: &e.Failures, SlowFirst: &e.First, SlowPace: &e.Pace}
	if loaded {
		tallies = map[Property]*Tally{Failing: &e.Loaded.Failures, SlowFirst: &e.Loaded.First, SlowPace: &e.Loaded.Pace}
	}
	tally := tallies[property]
	*tally = tally.Plus(trials)
	return e
}

// Strength returns the likelihood ratio that the new version is worse, the mean over the properties, and
// the property that contributes most. It is that of the load test, of the time before it or of both, whichever is the
// strongest. See package odds.
func (e Evidence) Strength() (float64, Property) {
	sum, largest, property := 0.0, 0.0, Failing
	for _, p := range []struct {
		name          Property
		light, loaded Tally
	}{{Failing, e.Failures, e.Loaded.Failures}, {SlowFirst, e.First, e.Loaded.First}, {SlowPace, e.Pace, e.Loaded.Pace}} {
		light, loaded := p.light.strength(), p.loaded.strength()
		strength := max(light, loaded, light*loaded)
		sum += strength / properties
		if strength > largest {
			largest, property = strength, p.name
		}
	}
	return sum, property
}

// strength returns the likelihood ratio of one property, or 0 without trials on both sides. The new version's
// share is at least the fraction of requests that it is sent: trials from before it came would lower the
// share, while the load may have changed since.
func (t Tally) strength() float64 {
	if t.New <= 0 || t.Old <= 0 || t.NewBad < 0 || t.OldBad < 0 {
		return 0
	}
	share := max(lightFraction, float64(t.New)/float64(t.New+t.Old))
	return odds.Ratio(float64(t.NewBad), float64(t.OldBad), share)
}
