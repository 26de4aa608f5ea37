package entry

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"lentilstage.dev/decide/intake"
	"lentilstage.dev/domain/conf"
)

const (
	// defaultMemoryMB is assumed for callers if the memory is unknown. It has room for the default number of model
	// requests (2,000) with prompts of 100 KB.
	defaultMemoryMB = 1000
	// peerDescriptors is the number of descriptors for each connection of another daemon.
	peerDescriptors = 16
	mega            = 1_000_000
)

// CallerLimits returns the limits of what is held for callers. It returns intake.ErrLimits if they leave no room
// for a single request.
func (s Settings) CallerLimits() (intake.Limits, error) {
	s = s.WithDefaults()
	instance := s.instance()
	limits, err := intake.Derive(instance, s.overrides())
	if err != nil {
		return limits, err
	}
	// This daemon has no addresses for readiness and metrics of their own.
	limits.Connections[intake.Control] = max(instance.Descriptors/peerDescriptors,
		limits.Connections[intake.Control]+limits.Connections[intake.Ready]+limits.Connections[intake.Metrics])
	return limits, nil
}

// SoftMemoryBytes returns the memory limit of the Go runtime; 0 if the memory is unknown.
func (s Settings) SoftMemoryBytes() int64 {
	limits, err := s.CallerLimits()
	if s.MemoryMB == 0 || err != nil {
		return 0
	}
	return limits.SoftMemoryBytes + s.heldBytes()
}

// instance returns what the limits are derived from: the memory beside the copies for other daemons, and the descriptors.
func (s Settings) instance() intake.Instance {
	i := intake.Instance{MemoryBytes: defaultMemoryMB * mega, Descriptors: s.MaxDescriptors}
	if s.MemoryMB > 0 {
		// 1 byte stands for no memory, which the limits refuse; 0 would be an unknown one.
		i.MemoryBytes = max(int64(s.MemoryMB)*mega-s.heldBytes(), 1)
	}
	var limit unix.Rlimit
	if i.Descriptors == 0 && unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil {
		// The runtime raises the soft limit to the hard one.
		i.Descriptors = int(min(limit.Max, maxKnownDescriptors))
	}
	return i
}

// maxKnownDescriptors bounds a limit of the process that may be without a bound.
const maxKnownDescriptors = 1 << 20

func (s Settings) heldBytes() int64 { return int64(s.MaxHeldMiB) << 20 }

func (s Settings) overrides() intake.Overrides {
	return intake.Overrides{
		Connections: s.CallerConnections, HeadBytes: int64(s.CallerHeadKiB) << 10, BodyBytes: int64(s.CallerBodyKiB) << 10,
		StallTime:   time.Duration(s.CallerStallMilliseconds) * time.Millisecond,
		ReadTimeout: time.Duration(s.CallerReadMilliseconds) * time.Millisecond,
	}
}

// CheckFields returns the settings that leave no room for a single request, each with the smallest value that would do.
func (s Settings) CheckFields() []conf.FieldProblem {
	s = s.WithDefaults()
	var problems []conf.FieldProblem
	least := func(field string, value, smallest int) {
		if value > 0 && value < smallest {
			problems = append(problems, conf.FieldProblem{Field: field, Text: fmt.Sprintf("must be at least %d, got %d", smallest, value)})
		}
	}
	least("MemoryMB", s.MemoryMB, s.leastMemoryMB())
	least("MaxDescriptors", s.MaxDescriptors, intake.LeastDescriptors())
	least("CallerConnections", s.CallerConnections, intake.LeastConnections)
	least("CallerHeadKiB", s.CallerHeadKiB, kibOf(intake.LargestHeadCost(intake.LargestHeadBytes)))
	least("CallerBodyKiB", s.CallerBodyKiB, kibOf(s.leastBodyBytes()))
	return problems
}

// leastBodyBytes returns the memory that the largest body takes while its request is decoded.
func (s Settings) leastBodyBytes() int64 {
	return max(intake.LargestBodyBytes, int64(s.MaxBodyKiB)<<10*bodyCopies)
}

// leastMemoryMB returns the smallest memory that has room for the largest body beside the held copies.
func (s Settings) leastMemoryMB() int {
	for mb := int(intake.LeastMemory() / mega); ; mb++ {
		l, err := intake.Derive(intake.Instance{MemoryBytes: int64(mb) * mega, Descriptors: maxKnownDescriptors}, intake.Overrides{})
		if err == nil && l.BodyBytes >= s.leastBodyBytes() {
			return mb + int((s.heldBytes()+mega-1)/mega)
		}
	}
}

func kibOf(bytes int64) int { return int((bytes + 1<<10 - 1) >> 10) }
