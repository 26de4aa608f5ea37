package answer

import "bytes"

// head follows the bytes of a head as they arrive.
type head struct {
	bytes, lines int
	// lineBytes is the number of bytes of the present line, last the last one of them.
	lineBytes int
	last      byte
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
