package answer

import "bytes"

const (
	// fieldBytes is the memory of a field of a head beside its bytes: an entry in a map and a slice.
	fieldBytes = 150
	// headStep is the step in which the room for a head grows.
	headStep = 16 << 10
)

// head follows the bytes of a head as they arrive.
type head struct {
	bytes, lines int
	// lineBytes is the number of bytes of the present line, last the last one of them.
	lineBytes int
	last      byte
	// hold asks for room for the head, which holds held bytes so far.
	hold Hold
	held int64
	// folded is set if a line continues the field before it, complete at the end of the head.
	folded, complete bool
}

// scan adds bytes, of which those behind the head are left out.
func (h *head) scan(data []byte) {
	for len(data) > 0 && !h.complete {
		if h.lineBytes == 0 && h.lines > 0 && (data[0] == ' ' || data[0] == '\t') {
			h.folded = true
		}
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			h.bytes, h.lineBytes, h.last = h.bytes+len(data), h.lineBytes+len(data), data[len(data)-1]
			return
		}
		if end > 0 {
			h.lineBytes, h.last = h.lineBytes+end, data[end-1]
		}
		empty := h.lineBytes == 0 || h.lineBytes == 1 && h.last == '\r'
		h.complete = empty && h.lines > 0
		h.bytes, h.lines, h.lineBytes = h.bytes+end+1, h.lines+1, 0
		data = data[end+1:]
	}
}

// hasRoom reports whether there is room for what was scanned.
func (h *head) hasRoom() bool {
	cost := int64(h.bytes + h.lines*fieldBytes)
	if cost <= max(h.held, minHeldBytes) {
		return true
	}
	cost += headStep - cost%headStep
	if !h.hold.Allows(cost) {
		return false
	}
	h.held = cost
	return true
}
