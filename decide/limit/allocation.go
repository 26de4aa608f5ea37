package limit

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilstage.dev/domain/ident"
)

type (
	// Demand is the number of an account's requests that are in flight or queued at one daemon.
	Demand struct {
		Process string
		Value   float64
		// At is the time of the digest that reported the demand.
		At time.Time
	}

	// Rotation is the order in which daemons receive the slots left over by rounding down.
	Rotation struct {
		epoch string
		order []int
	}

	// Allocation is the portion of a limit that one daemon enforces.
	Allocation struct {
		Process string
		Value   float64
	}
)

const (
	// minAllocationFraction is the fraction of an equal allocation that a daemon without demand
	// keeps.
	minAllocationFraction = 0.1
	// minPredictedSlots bounds the predicted wait of an account whose limit is close to 0.
	minPredictedSlots = 0.1
	// fullWeightAge is the age up to which a demand counts fully: two digest periods.
	fullWeightAge = 2 * time.Second
	// decayHalfLife is the time in which an older demand, for instance of a disconnected region,
	// halves its distance to the mean.
	decayHalfLife = 5 * time.Second
	// rotationPeriod is the time after which left-over slots go to other daemons, so that no
	// daemon starves if a cap is lower than the number of daemons.
	rotationPeriod = 5 * time.Second
)

// Allocate divides a limit over daemons in proportion to their demand. Each daemon gets at
// least minAllocationFraction of an equal allocation. The allocations add up to the limit.
// Outdated demands decay to the mean, so that the allocations become equal while no digests
// arrive.
func Allocate(limit float64, demands []Demand, now time.Time) []Allocation {
	count := float64(len(demands))
	mean := 0.0
	for _, d := range demands {
		mean += d.Value / count
	}
	values := make([]float64, len(demands))
	sum := 0.0
	for i, d := range demands {
		values[i] = d.Value
		if age := now.Sub(d.At); age > fullWeightAge {
			values[i] = mean + (d.Value-mean)*math.Exp2(-(age-fullWeightAge).Seconds()/decayHalfLife.Seconds())
		}
		sum += values[i]
	}
	floor := limit / count * minAllocationFraction
	allocations := make([]Allocation, len(demands))
	for i, d := range demands {
		fraction := 1 / count
		if sum > 0 {
			fraction = values[i] / sum
		}
		allocations[i] = Allocation{Process: d.Process, Value: floor + (limit-floor*count)*fraction}
	}
	return allocations
}

// NewRotation returns the order of the daemons at a time. All daemons compute the same order.
func NewRotation(processes []string, now time.Time) Rotation {
	epoch := strconv.FormatInt(now.Unix()/int64(rotationPeriod.Seconds()), 10)
	indexes := make(map[string]int, len(processes))
	for i, p := range processes {
		indexes[p] = i
	}
	order := make([]int, 0, len(processes))
	for _, name := range ident.RendezvousOrder(epoch, processes) {
		order = append(order, indexes[name])
	}
	return Rotation{epoch: epoch, order: order}
}

// Slots returns the number of whole slots of the daemon with the given index. The allocations
// must be in the order of the processes of NewRotation. Each daemon gets its allocation rounded
// down or up, and all daemons together get the limit rounded down or up. Over time each daemon
// gets its allocation on average, so that an account with less than one slot still gets one in
// turn. All daemons with the same allocations compute the same slots.
func (r Rotation) Slots(key string, index int, allocations []Allocation) int {
	limit := 0.0
	for _, a := range allocations {
		limit += a.Value
	}
	// The sum of the allocations may miss a whole number by a rounding error.
	if whole := math.Round(limit); math.Abs(limit-whole) < 1e-6 {
		limit = whole
	}
	const precision = 1 << 53
	offset := float64(xxhash.Sum64String(key+"\x00"+r.epoch)>>11) / precision
	cumulative := 0.0
	for _, i := range r.order {
		previous := math.Floor(cumulative + offset)
		cumulative += allocations[i].Value
		if math.Abs(limit-cumulative) < 1e-6 {
			cumulative = limit
		}
		if i == index {
			return int(math.Floor(cumulative+offset) - previous)
		}
	}
	return 0
}
