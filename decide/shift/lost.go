package shift

import (
	"slices"

	"lentilstage.dev/decide/odds"
)

type (
	// Lost is a set of endpoints at which attempts ended without an answer and which have given none since: they have
	// crashed or fallen silent, which ends all that they run at once. The set keeps the maxLost lowest identifiers; 0 is
	// none.
	Lost [maxLost]uint32

	// Unanswered are the attempts at one endpoint that ended without an answer, since it has last given one.
	Unanswered struct {
		Failures, First int64
	}
)

// maxLost is the largest number of endpoints in the set. A version is stopped by fewer if the old one has lost none.
const maxLost = 16

// With returns the set with one more endpoint.
func (l Lost) With(id uint32) Lost { return l.Union(Lost{id}) }

// Union returns the endpoints of both sets.
func (l Lost) Union(o Lost) Lost {
	ids := append(slices.Clone(l[:]), o[:]...)
	ids = slices.DeleteFunc(ids, func(id uint32) bool { return id == 0 })
	slices.Sort(ids)
	var union Lost
	copy(union[:], slices.Compact(ids))
	return union
}

// Count returns the number of endpoints.
func (l Lost) Count() int64 {
	count := int64(0)
	for _, id := range l {
		if id != 0 {
			count++
		}
	}
	return count
}

// lostStrength returns the likelihood ratio that the new version loses more of its endpoints than the old one. share is
// the new version's share of the endpoints: an endpoint is lost once, however many requests it gets.
func lostStrength(lostNew, lostOld Lost, share float64) float64 {
	if share <= 0 || share >= 1 {
		return 0
	}
	return odds.Ratio(float64(lostNew.Count()), float64(lostOld.Count()), share)
}
