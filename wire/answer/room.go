package answer

import (
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

type (
	// Room bounds what a process holds of all answers that it reads at the same time. An answer may hold at most half of
	// what the others leave, so that a few large ones don't take the room of all. Its methods may be called from several
	// goroutines.
	Room struct {
		mutex sync.Mutex
		free  int64
	}

	// Share is what one answer holds of a room. Its methods may be called from several goroutines.
	Share struct {
		room *Room
		held int64
		// released reports whether the share holds nothing any more.
		released bool
	}

	// Hold asks for room for an answer. It sets the number of bytes that the answer holds, so 0 releases them, and
	// returns false if there is no room for them; the answer then holds what it held before. A nil Hold has room for
	// any number.
	Hold func(bytes int64) bool
)

// minHeldBytes is the size up to which an answer needs no room. What little there is of most answers is counted with
// their connections.
const minHeldBytes = 8 << 10

// ErrNoRoom reports an answer for which there is no room beside others.
var ErrNoRoom = eris.New("no room for the answer")

// NewRoom returns a room of a number of bytes.
func NewRoom(bytes int64) *Room { return &Room{free: bytes} }

// Share returns the share of an answer, which holds nothing yet. It must be released.
func (r *Room) Share() *Share { return &Share{room: r} }

// Hold sets the number of bytes that the answer holds, as a Hold does.
func (s *Share) Hold(bytes int64) bool {
	s.room.mutex.Lock()
	defer s.room.mutex.Unlock()
	left := s.room.free + s.held
	if s.released || bytes > s.held && bytes > left/2 {
		return false
	}
	s.room.free, s.held = left-bytes, bytes
	return true
}

// Release returns what the answer holds. There is no room for more of it.
func (s *Share) Release() {
	s.room.mutex.Lock()
	defer s.room.mutex.Unlock()
	s.room.free += s.held
	s.held, s.released = 0, true
}

// ReadAll reads a body of at most limit bytes. It returns ErrTooLarge for a larger one, ErrNoRoom if there is no room
// for it, or the error of the body.
func ReadAll(body io.Reader, limit int64, hold Hold) ([]byte, error) {
	content := make([]byte, 0, min(minHeldBytes, limit+1))
	for {
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		switch {
		case int64(len(content)) > limit:
			return nil, eris.Wrapf(ErrTooLarge, "body of more than %d bytes", limit)
		case err == io.EOF:
			return content, nil
		case err != nil:
			return content, err
		}
		if len(content) < cap(content) {
			continue
		}
		larger := min(2*int64(cap(content)), limit+1)
		if !hold.Allows(larger) {
			return nil, eris.Wrapf(ErrNoRoom, "body of more than %d bytes", len(content))
		}
		content = append(make([]byte, 0, larger), content...)
	}
}

// Allows asks for room unless the answer is small, at most 8 KB.
func (h Hold) Allows(bytes int64) bool { return h == nil || bytes <= minHeldBytes || h(bytes) }

// Release returns what the answer holds.
func (h Hold) Release() {
	if h != nil {
		h(0)
	}
}
