package intake

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// Instance describes what a process may use. A zero field is unknown.
	Instance struct {
		MemoryBytes int64
		Descriptors int
		// LinkMbps is the bandwidth of the network in Mbit/s.
		LinkMbps float64
	}

	// Limits bound what a daemon holds for callers.
	Limits struct {
		// Connections is the number of connections of each class.
		Connections [classCount]int
		// EndpointConnections is the number of connections to endpoints, in use and idle.
		EndpointConnections int
		// HeadBytes bounds the heads of requests, with FieldBytes for each header field.
		HeadBytes int64
		// BodyBytes bounds the bodies of requests.
		BodyBytes int64
		// ResponseBytes bounds the responses that are complete and not yet read by callers.
		ResponseBytes int64
		// SocketBufferBytes is the size of a connection's receive buffer while at most RoomyConnections are open,
		// CrowdedBufferBytes that of further ones.
		SocketBufferBytes  int
		RoomyConnections   int
		CrowdedBufferBytes int
		// RoomyEndpoints is the number of connections to endpoints with a receive buffer of SocketBufferBytes. Further
		// ones get CrowdedEndpointBytes: what an endpoint sends waits there while the caller does not read.
		RoomyEndpoints       int
		CrowdedEndpointBytes int
		// SoftMemoryBytes is the memory limit of the Go runtime.
		SoftMemoryBytes int64
		// StallTime is the time without progress after which a connection is shed if room is short.
		StallTime time.Duration
		// ReadTimeout and WriteTimeout are the times without progress after which a body is refused and a
		// response is given up, also if there is room.
		ReadTimeout  time.Duration
		WriteTimeout time.Duration
	}

	// Overrides replace derived limits. A zero field keeps the derived one.
	Overrides struct {
		Connections  int
		HeadBytes    int64
		BodyBytes    int64
		StallTime    time.Duration
		ReadTimeout  time.Duration
		WriteTimeout time.Duration
	}
)

const (
	// DefaultMemoryBytes and DefaultDescriptors apply if the instance is unknown. They are below those of the
	// smallest instance in use.
	DefaultMemoryBytes = 128 * mega
	DefaultDescriptors = 1024
	// LargestHeadBytes and LargestBodyBytes are the sizes that every instance must have room for once.
	LargestHeadBytes = 16384
	LargestBodyBytes = 4 << 20
	// FieldBytes is the memory of a header field beside its bytes. net/http adds an entry to a map and a slice
	// for each, and the daemon copies the header twice on its way to an endpoint.
	FieldBytes = 640
	// ConnectionBytes is the memory of an open connection without a request: two buffers of 4 KB in net/http, one
	// in the gate, and the stacks of its goroutines.
	ConnectionBytes = 24 << 10
	// ProgressBytes must arrive within the stall time for a body to make progress if room is short.
	ProgressBytes = 16 << 10
	// LeastConnections is the smallest number of callers' connections.
	LeastConnections = 16

	mega = 1_000_000
	// baseBytes is the memory of a daemon without callers: 58 MB at most were measured at 299 instances, of which
	// the garbage collector gives back a third under a memory limit.
	baseBytes = 40 * mega
	// reservedFiles of the descriptors are the platform's for files, reservedControl are for the store, datagrams
	// and connections that the daemon opens to others.
	reservedFiles   = 200
	reservedControl = 80
	// readyConnections, controlConnections and metricsConnections are the most of the addresses that callers don't need,
	// and the fractions their shares of the descriptors on small instances.
	readyConnections   = 64
	controlConnections = 128
	metricsConnections = 32
	readyFraction      = 1.0 / 16
	controlFraction    = 1.0 / 8
	metricsFraction    = 1.0 / 16
	// callerFraction of the other descriptors is for callers, and the rest for endpoints: each request uses one of
	// either, and some connections to endpoints are idle.
	callerFraction = 0.45
	// connectionFraction, headFraction and responseFraction of the memory are for connections, heads and responses.
	connectionFraction = 1.0 / 6
	headFraction       = 1.0 / 16
	responseFraction   = 1.0 / 16
	// socketFraction of the memory is for bytes that were received and not yet read.
	socketFraction = 1.0 / 8
	// bodyFraction of what remains is for bodies. The rest is left to the garbage collector.
	bodyFraction = 2.0 / 3
	// socketBuffer is a receive buffer with a window of 32 KB. Half of the sockets' memory is for connections with
	// such a buffer: in a crowd, further ones get a smaller one, so that bytes that nobody reads stay within the memory.
	socketBuffer         = 64 << 10
	roomyFraction        = 0.5
	crowdedEndpointBytes = 16 << 10
	// programBytes is the memory of the program's file.
	programBytes       = 8 * mega
	minCrowdedBuffer   = 4 << 10
	defaultStallTime   = 500 * time.Millisecond
	defaultReadTimeout = 5 * time.Second
	// defaultWriteTimeout is longer than a caller's pause of a few seconds.
	defaultWriteTimeout = 5 * time.Second
	// stallShares times its share of the link's time is what a body may take for ProgressBytes.
	stallShares             = 4
	bytesPerSecondAtOneMbps = 125_000
	// minFieldBytes is the size of the shortest header field with its end of line.
	minFieldBytes = 4
)

// ErrLimits reports an instance or an override that leaves no room for a single request.
var ErrLimits = eris.New("limits leave no room for a single request")

// HeadCost returns the memory that a head takes.
func HeadCost(size int64, fields int) int64 { return size + int64(fields)*FieldBytes }

// LargestHeadCost returns the memory of a head of the given size that consists of the shortest fields.
func LargestHeadCost(size int64) int64 { return HeadCost(size, int(size/minFieldBytes)) }

// Derive returns the limits for an instance. It returns ErrLimits with the smallest value that would do if there
// is no room for a single request.
func Derive(instance Instance, overrides Overrides) (Limits, error) {
	if instance.MemoryBytes == 0 {
		instance.MemoryBytes = DefaultMemoryBytes
	}
	if instance.Descriptors == 0 {
		instance.Descriptors = DefaultDescriptors
	}
	if least := LeastDescriptors(); instance.Descriptors < least {
		return Limits{}, eris.Wrapf(ErrLimits, "%d descriptors, at least %d", instance.Descriptors, least)
	}
	if least := LeastMemory(); instance.MemoryBytes < least {
		return Limits{}, eris.Wrapf(ErrLimits, "%d MB of memory, at least %d", instance.MemoryBytes/mega, least/mega)
	}
	if err := overrides.check(); err != nil {
		return Limits{}, err
	}
	return derive(instance, overrides), nil
}

func derive(instance Instance, overrides Overrides) Limits {
	memory := float64(instance.MemoryBytes)
	connections, shared := divide(instance.Descriptors)
	callers := min(int(callerFraction*float64(shared)), int(connectionFraction*memory/ConnectionBytes))
	if overrides.Connections > 0 {
		callers = min(callers, overrides.Connections)
	}
	connections[Callers] = callers
	l := Limits{
		Connections:         connections,
		EndpointConnections: shared - callers,
		HeadBytes:           int64(headFraction * memory),
		ResponseBytes:       int64(responseFraction * memory),
		StallTime:           defaultStallTime, ReadTimeout: defaultReadTimeout, WriteTimeout: defaultWriteTimeout,
	}
	sockets := int64(socketFraction * memory)
	total := 0
	for _, count := range l.Connections {
		total += count
	}
	l.SocketBufferBytes = socketBuffer
	l.RoomyConnections = min(int(roomyFraction*float64(sockets))/socketBuffer, total)
	if crowded := total - l.RoomyConnections; crowded > 0 {
		room := int(sockets) - l.RoomyConnections*socketBuffer
		l.CrowdedBufferBytes = min(max(room/crowded, minCrowdedBuffer), socketBuffer)
	} else {
		l.CrowdedBufferBytes = socketBuffer
	}
	rest := instance.MemoryBytes - baseBytes - sockets - int64(callers)*ConnectionBytes - l.HeadBytes - l.ResponseBytes
	l.BodyBytes = int64(bodyFraction * float64(rest))
	l.RoomyEndpoints, l.CrowdedEndpointBytes = l.RoomyConnections, crowdedEndpointBytes
	// What the kernel holds for callers and endpoints, and the program's file, are not the runtime's.
	l.SoftMemoryBytes = instance.MemoryBytes - 2*sockets - programBytes
	if instance.LinkMbps > 0 {
		// Bodies share the link, so that each arrives at a fraction of its rate.
		bodies := float64(l.BodyBytes) / LargestBodyBytes
		seconds := stallShares * ProgressBytes * bodies / (instance.LinkMbps * bytesPerSecondAtOneMbps)
		l.StallTime = max(l.StallTime, time.Duration(seconds*float64(time.Second)))
	}
	return overrides.apply(l)
}

func (o Overrides) apply(l Limits) Limits {
	if o.HeadBytes > 0 {
		l.HeadBytes = o.HeadBytes
	}
	if o.BodyBytes > 0 {
		l.BodyBytes = o.BodyBytes
	}
	if o.StallTime > 0 {
		l.StallTime = o.StallTime
	}
	if o.ReadTimeout > 0 {
		l.ReadTimeout = o.ReadTimeout
	}
	if o.WriteTimeout > 0 {
		l.WriteTimeout = o.WriteTimeout
	}
	return l
}

func (o Overrides) check() error {
	if least := LargestHeadCost(LargestHeadBytes); o.HeadBytes > 0 && o.HeadBytes < least {
		return eris.Wrapf(ErrLimits, "%d bytes for heads, at least %d", o.HeadBytes, least)
	}
	if o.BodyBytes > 0 && o.BodyBytes < LargestBodyBytes {
		return eris.Wrapf(ErrLimits, "%d bytes for bodies, at least %d", o.BodyBytes, LargestBodyBytes)
	}
	if o.Connections > 0 && o.Connections < LeastConnections {
		return eris.Wrapf(ErrLimits, "%d connections, at least %d", o.Connections, LeastConnections)
	}
	return nil
}

// divide returns the connections of the addresses that callers don't need, and the descriptors that callers and
// endpoints share.
func divide(descriptors int) (connections [classCount]int, shared int) {
	shared = descriptors - reservedFiles - reservedControl
	part := func(fraction float64, most int) int { return min(int(fraction*float64(shared)), most) }
	connections[Ready] = part(readyFraction, readyConnections)
	connections[Control] = part(controlFraction, controlConnections)
	connections[Metrics] = part(metricsFraction, metricsConnections)
	return connections, shared - connections[Ready] - connections[Control] - connections[Metrics]
}

// LeastDescriptors returns the smallest number of descriptors with room for LeastConnections callers.
func LeastDescriptors() int {
	for least := reservedFiles; ; least++ {
		if _, shared := divide(least); int(callerFraction*float64(shared)) >= LeastConnections {
			return least
		}
	}
}

// LeastMemory returns the smallest memory in bytes, in whole MB, with room for a single request and LeastConnections callers.
func LeastMemory() int64 {
	for memory := int64(baseBytes); ; memory += mega {
		l := derive(Instance{MemoryBytes: memory, Descriptors: 1 << 20}, Overrides{})
		if l.BodyBytes >= LargestBodyBytes && l.HeadBytes >= LargestHeadCost(LargestHeadBytes) && l.Connections[Callers] >= LeastConnections {
			return memory
		}
	}
}

// String describes the limits in one line.
func (l Limits) String() string {
	return fmt.Sprintf("connections: callers %d, readiness %d, control %d, metrics %d, endpoints %d; "+
		"bytes: heads %d, bodies %d, responses %d, soft memory limit %d; receive buffers: %d of %d, then %d; "+
		"times: stall %v, read %v, write %v",
		l.Connections[Callers], l.Connections[Ready], l.Connections[Control], l.Connections[Metrics], l.EndpointConnections,
		l.HeadBytes, l.BodyBytes, l.ResponseBytes, l.SoftMemoryBytes, l.RoomyConnections, l.SocketBufferBytes, l.CrowdedBufferBytes,
		l.StallTime, l.ReadTimeout, l.WriteTimeout)
}
