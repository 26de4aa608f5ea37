package shift

import "slices"

// Reference holds the last times of the old version in one property, in any unit. Its zero value is empty.
type Reference struct {
	times [referenceSize]float64
	count int
	next  int
}

const (
	// referenceSize is the number of times that are kept, and minReference how many it takes to tell a
	// slow answer.
	referenceSize = 64
	minReference  = 12
	// slowFactor times the median is the shortest time of a slow answer: a version that is slower by less
	// is as good as the old one. slowQuantile is the fraction of the old version's answers that are never
	// slow, since loads make some of them several times slower than the median.
	slowFactor   = 2
	slowQuantile = 0.9
)

// With returns the reference with one more time.
func (r Reference) With(time float64) Reference {
	r.times[r.next] = time
	r.next = (r.next + 1) % referenceSize
	r.count = min(r.count+1, referenceSize)
	return r
}

// Judge tells whether an answer that took the time is slow, and whether it counts as a trial. An answer that
// had not come by then (unfinished) counts only if it is slow: nothing else is known of it.
func (r Reference) Judge(time float64, unfinished bool) (slow, counts bool) {
	limit, known := r.Limit()
	slow = known && time > limit
	return slow, known && (slow || !unfinished)
}

// Limit returns the time above which an answer is slow. It returns false while too few times are known.
func (r Reference) Limit() (float64, bool) {
	if r.count < minReference {
		return 0, false
	}
	sorted := slices.Clone(r.times[:r.count])
	slices.Sort(sorted)
	return max(slowFactor*sorted[len(sorted)/2], sorted[int(slowQuantile*float64(len(sorted)))]), true
}
