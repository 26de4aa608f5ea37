package stand

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Hostile is a crowd of callers that send requests of one kind, and the bounds that the process under
// test must keep meanwhile. The cases of tests are lists of it in data files.
type Hostile struct {
	Name string `yaml:"Name"`
	// Address names one of the process's addresses.
	Address string `yaml:"Address"`
	Path    string `yaml:"Path"`
	// Connections is the number of callers. One whose connection ends opens another.
	Connections int `yaml:"Connections"`
	// Requests is the number of requests that a caller sends on a connection without waiting for
	// responses; 0 means 1.
	Requests int `yaml:"Requests"`
	// Fields is the number of additional header fields, of six bytes each.
	Fields int `yaml:"Fields"`
	// Body is the length of a request's body in bytes. Chunk is the length of its chunks; 0 means that
	// the header states the body's length.
	Body  int `yaml:"Body"`
	Chunk int `yaml:"Chunk"`
	// Piece is the number of bytes of a write, PauseMs the pause after it in milliseconds; with 0, all
	// bytes are written at once.
	Piece   int `yaml:"Piece"`
	PauseMs int `yaml:"PauseMs"`
	// Short is the number of bytes at the end that a caller never sends. It stays connected.
	Short int `yaml:"Short"`
	// Reads is ReadsNothing, ReadsSlowly, or empty for a caller that reads all responses.
	Reads string `yaml:"Reads"`
	// Datagrams is the kind of datagrams to send instead of requests. The test that uses it defines the
	// kinds.
	Datagrams string `yaml:"Datagrams"`
	// MemoryMB bounds the process's anonymous memory with the bytes that it has not read from its
	// sockets. Descriptors bounds its open files; the process's own limit is set to it.
	MemoryMB    int `yaml:"MemoryMB"`
	Descriptors int `yaml:"Descriptors"`
}

const (
	// ReadsNothing and ReadsSlowly are values of Hostile.Reads.
	ReadsNothing = "none"
	ReadsSlowly  = "slow"

	// HostileTime is how long a crowd stays connected.
	HostileTime = 3 * time.Second
	// reconnectPause is the pause before a caller whose connection has ended opens another.
	reconnectPause = 50 * time.Millisecond
	hostileDial    = time.Second
	// slowReadPause is the pause between two bytes of a slow reader.
	slowReadPause = 100 * time.Millisecond
	// slowReadBuffer is the receive buffer of a caller that does not read, so that its responses fill
	// the process's buffers instead of the caller's.
	slowReadBuffer = 4 << 10
	// firstFieldName is the base-36 number of the first additional field's name, "a00", and fieldBase the
	// base. A field has three characters, a colon and the end of the line.
	firstFieldName = 12960
	fieldBase      = 36
)

// text returns the bytes that each caller of the crowd sends. fields are header fields that every request has.
func (h Hostile) text(fields string) []byte {
	var one bytes.Buffer
	fmt.Fprintf(&one, "POST %s HTTP/1.1\r\n%s", h.Path, fields)
	for i := range h.Fields {
		one.WriteString(strconv.FormatInt(int64(firstFieldName+i), fieldBase) + ":\r\n")
	}
	switch {
	case h.Chunk > 0:
		one.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for sent := 0; sent < h.Body; sent += h.Chunk {
			size := min(h.Chunk, h.Body-sent)
			fmt.Fprintf(&one, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
		}
		one.WriteString("0\r\n\r\n")
	default:
		fmt.Fprintf(&one, "Content-Length: %d\r\n\r\n", h.Body)
		one.Write(bytes.Repeat([]byte("x"), h.Body))
	}
	return bytes.Repeat(one.Bytes(), max(h.Requests, 1))
}

// Attack connects the crowd to an address until the context ends. Every request has the given header
// fields, each with the end of its line.
func (h Hostile) Attack(ctx context.Context, address, fields string) {
	text := h.text(fields)
	text = text[:len(text)-h.Short]
	var callers sync.WaitGroup
	for range h.Connections {
		callers.Go(func() {
			for ctx.Err() == nil {
				h.connect(ctx, address, text)
				waitFor(ctx, reconnectPause)
			}
		})
	}
	callers.Wait()
}

// connect sends the text on a new connection and keeps it open until the process or the context ends it.
func (h Hostile) connect(ctx context.Context, address string, text []byte) {
	conn, err := net.DialTimeout("tcp", address, hostileDial)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if tcp, ok := conn.(*net.TCPConn); ok && h.Reads != "" {
		_ = tcp.SetReadBuffer(slowReadBuffer)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		h.read(ctx, conn)
		// Ends a write that the process no longer reads.
		_ = conn.Close()
	}()
	for len(text) > 0 && ctx.Err() == nil {
		piece := text
		if h.Piece > 0 {
			piece = text[:min(h.Piece, len(text))]
		}
		if _, err := conn.Write(piece); err != nil {
			break
		}
		text = text[len(piece):]
		if h.PauseMs > 0 {
			waitFor(ctx, time.Duration(h.PauseMs)*time.Millisecond)
		}
	}
	<-ended
}

// read reads responses as the case says until the connection or the context ends.
func (h Hostile) read(ctx context.Context, conn net.Conn) {
	switch h.Reads {
	case ReadsNothing:
		<-ctx.Done()
	case ReadsSlowly:
		one := make([]byte, 1)
		for ctx.Err() == nil {
			if _, err := conn.Read(one); err != nil {
				return
			}
			waitFor(ctx, slowReadPause)
		}
	default:
		_, _ = io.Copy(io.Discard, conn)
	}
}

// Violations returns which bounds of the case the process has exceeded.
func (h Hostile) Violations(peak Usage) []string {
	var violations []string
	if peak.MemoryMB >= h.MemoryMB {
		violations = append(violations, fmt.Sprintf("%d MB of memory, of which %d MB unread in sockets; limit %d MB", peak.MemoryMB, peak.UnreadMB, h.MemoryMB))
	}
	if peak.Descriptors >= h.Descriptors {
		violations = append(violations, fmt.Sprintf("%d open descriptors, limit %d", peak.Descriptors, h.Descriptors))
	}
	return violations
}

// waitFor waits for a duration or until the context ends.
func waitFor(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
