package gate

import "bytes"

type (
	// headScanner finds the end of a request's head.
	headScanner struct {
		// line is where the present line begins, at is where the search for its end goes on.
		line, at int
		// begun is set after the request line, which blank lines may precede.
		begun  bool
		fields int
	}

	// chunkScanner finds the end of a chunked body.
	chunkScanner struct {
		state chunkState
		// left is the number of bytes of the present chunk that are still to come.
		left uint64
		// digits counts those of the present size; text reports whether the present line of the trailer has any.
		digits int
		text   bool
	}

	chunkState int
)

const (
	chunkSize chunkState = iota
	chunkExtension
	chunkData
	chunkEnd
	chunkTrailer
	chunkDone
	// chunkBroken means that the body is malformed. net/http then closes the connection.
	chunkBroken

	// maxSizeDigits is the longest size that net/http reads.
	maxSizeDigits = 16
)

// scan returns the length of the head if it is complete. data begins with the first byte of the head and grows from
// call to call.
func (s *headScanner) scan(data []byte) (length int, complete bool) {
	for {
		i := bytes.IndexByte(data[s.at:], '\n')
		if i < 0 {
			s.at = len(data)
			return 0, false
		}
		line := data[s.line : s.at+i]
		s.at += i + 1
		s.line = s.at
		blank := len(line) == 0 || len(line) == 1 && line[0] == '\r'
		switch {
		case blank && s.begun:
			return s.at, true
		case blank:
		case s.begun:
			s.fields++
		default:
			s.begun = true
		}
	}
}

// scan returns how many of the next bytes belong to the body.
func (s *chunkScanner) scan(data []byte) int {
	for i := 0; i < len(data); {
		switch s.state {
		case chunkDone:
			return i
		case chunkBroken:
			return len(data)
		case chunkData:
			step := min(s.left, uint64(len(data)-i))
			s.left -= step
			i += int(step)
			if s.left == 0 {
				s.state = chunkEnd
			}
		default:
			s.next(data[i])
			i++
		}
	}
	return len(data)
}

// next takes a byte that is not a chunk's content.
func (s *chunkScanner) next(b byte) {
	switch s.state {
	case chunkSize:
		digit, ok := hexDigit(b)
		switch {
		case ok && s.digits < maxSizeDigits:
			s.left, s.digits = s.left<<4|uint64(digit), s.digits+1
		case b == '\n':
			s.startChunk()
		case s.digits > 0 && (b == ';' || b == '\r' || b == ' ' || b == '\t'):
			s.state = chunkExtension
		default:
			s.state = chunkBroken
		}
	case chunkExtension:
		if b == '\n' {
			s.startChunk()
		}
	case chunkEnd:
		// The line after the content is empty.
		switch b {
		case '\r':
		case '\n':
			s.state, s.digits = chunkSize, 0
		default:
			s.state = chunkBroken
		}
	case chunkTrailer:
		switch b {
		case '\n':
			if !s.text {
				s.state = chunkDone
			}
			s.text = false
		case '\r':
		default:
			s.text = true
		}
	}
}

func (s *chunkScanner) startChunk() {
	switch {
	case s.digits == 0:
		s.state = chunkBroken
	case s.left == 0:
		s.state = chunkTrailer
	default:
		s.state = chunkData
	}
}

func hexDigit(b byte) (value byte, ok bool) {
	switch {
	case b >= '0' && b <= '9':
		return b - '0', true
	case b >= 'a' && b <= 'f':
		return b - 'a' + 10, true
	case b >= 'A' && b <= 'F':
		return b - 'A' + 10, true
	}
	return 0, false
}

// headerValue returns the value of the first header with a name in a complete head; nil if it is not printable.
func headerValue(head []byte, name string) []byte {
	for len(head) > 0 {
		line, rest, _ := bytes.Cut(head, []byte("\n"))
		head = rest
		field, value, ok := bytes.Cut(line, []byte(":"))
		if ok && len(field) == len(name) && bytes.EqualFold(field, []byte(name)) {
			value = bytes.TrimSpace(value)
			if bytes.ContainsFunc(value, func(r rune) bool { return r < ' ' || r > '~' }) {
				return nil
			}
			return value
		}
	}
	return nil
}
