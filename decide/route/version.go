package route

import (
	"github.com/cespare/xxhash/v2"

	"lentilstage.dev/domain/table"
)

// DrawVersion returns the version that the route's split assigns to a request. Every daemon and every
// attempt draws the same version for a request as long as the split is unchanged. A changed split
// reassigns only the requests in the share that moved. It returns the empty string if no version has
// a positive weight.
func DrawVersion(request, route string, split []table.WeightedVersion) string {
	var total float64
	for _, w := range split {
		total += max(0, w.Weight)
	}
	if total <= 0 {
		return ""
	}
	const precision = 1 << 53
	draw := float64(xxhash.Sum64String(route+"\x00"+request)>>11) / precision * total
	last := ""
	for _, w := range split {
		if w.Weight <= 0 {
			continue
		}
		last = w.Version
		if draw < w.Weight {
			break
		}
		draw -= w.Weight
	}
	return last
}

// fallbacks returns the versions that may serve when no endpoint of the drawn version can: those with
// at least its weight. So a new version with a small weight never receives the traffic of the
// established one.
func fallbacks(drawn string, split []table.WeightedVersion) []string {
	var weight float64
	for _, w := range split {
		if w.Version == drawn {
			weight = w.Weight
		}
	}
	var others []string
	for _, w := range split {
		if w.Version != drawn && w.Weight >= weight {
			others = append(others, w.Version)
		}
	}
	return others
}
