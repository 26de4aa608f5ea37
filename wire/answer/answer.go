// Package answer decides which answers are whole and well-formed.
//
// All that reads answers uses it: the answers of endpoints, of the platform's log and cloud, and of other daemons.
//
// A well-formed answer has a status of three digits from 100 to 599 and no other protocol than HTTP/1. Those below 200
// are interim answers, which are skipped; 101 is none, since no request asks for another protocol. The names of its
// fields, also in a trailer, are tokens of RFC 9110, without a blank before the colon; its values and the reason have no
// control bytes but tabs. A line that continues a field makes an answer malformed where heads are passed on.
//
// An answer without a length or chunks ends with its connection. It is whole only if it has a body and the peer has
// ended the connection in order. If the connection is reset while the request is still being written, the system may
// report that to the write alone, so that reads see an ordinary end. Conn therefore combines what reads and writes have
// been told.
//
// Peers in trouble send bytes without end. The head of an answer is limited, and what a process holds of all answers is
// bounded by a Room.
//
// # Usage
//
//	reader := answer.NewReader(answer.NewConn(dialled))
//	response, err := reader.Next(http.MethodPost)
//
//	client := &http.Client{Transport: answer.Wrap(&http.Transport{})}
package answer

import (
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

type (
	// body is the body of an answer.
	body struct {
		io.ReadCloser
		response *http.Response
		// conn is the connection of the answer; nil if it is not known.
		conn *Conn
		// empty is set until a byte was read.
		empty bool
	}
)

const (
	// MaxHeadBytes limits the head of an answer that Reader reads, in bytes.
	MaxHeadBytes = 64 << 10
	// maxControlHeadBytes limits the head of an answer to a client of net/http. These have few fields, and are not
	// counted in a Room.
	maxControlHeadBytes = 16 << 10

	minStatus = 100
	maxStatus = 599
	// maxQuotedBytes limits what an error quotes of an answer.
	maxQuotedBytes = 200
)

var (
	// ErrMalformed reports an answer that does not follow the protocol.
	ErrMalformed = eris.New("answer is malformed")
	// ErrTooLarge reports an answer that exceeds a limit.
	ErrTooLarge = eris.New("answer exceeds its limit")
	// ErrReset reports an answer whose connection was reset, or otherwise lost, before the answer ended.
	ErrReset = eris.New("connection was lost before the answer ended")
)

// Framed reports whether an answer has a length or chunks. Otherwise it ends with its connection.
func Framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// check returns ErrMalformed if the head of an answer is not well-formed. The head was read by net/http, which rejects
// heads that it can't parse.
func check(response *http.Response) error {
	switch status := response.StatusCode; {
	case response.ProtoMajor != 1:
		return malformed("protocol %q", response.Proto)
	case status < minStatus || status > maxStatus:
		return malformed("status %q", response.Status)
	case status == http.StatusSwitchingProtocols:
		return malformed("status %q, unasked", response.Status)
	case strings.ContainsFunc(response.Status, isControl):
		return malformed("reason %q", response.Status)
	}
	return checkNames(response.Header)
}

// checkNames returns ErrMalformed if the name of a field has a blank. net/http accepts that, but takes such a field for
// another one, so that a length or chunks are not seen. It rejects all else that is malformed in names and values.
func checkNames(header http.Header) error {
	for name := range header {
		if strings.Contains(name, " ") {
			return malformed("field name %q", name)
		}
	}
	return nil
}

// malformed returns ErrMalformed with a part of the answer's text, or of what net/http says of it.
func malformed(format, text string) error {
	return eris.Wrapf(ErrMalformed, format, text[:min(len(text), maxQuotedBytes)])
}

// isControl reports whether a character is a control byte that text of a head may not have.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// withBody returns the answer with a body that returns io.ErrUnexpectedEOF if it is not whole, and ErrMalformed if
// it does not follow the protocol and its connection, which may be nil, is known.
func withBody(response *http.Response, conn *Conn) *http.Response {
	if response.Body != http.NoBody {
		response.Body = &body{ReadCloser: response.Body, response: response, conn: conn, empty: true}
	}
	return response
}

// Read reads from the body. It returns io.EOF only at the end of a whole answer.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	b.empty = b.empty && n == 0
	switch {
	case err == nil || errors.Is(err, io.ErrUnexpectedEOF):
		return n, err
	case !errors.Is(err, io.EOF):
		if b.conn != nil && b.conn.readFailure == nil {
			err = malformed("%s", err.Error())
		}
		return n, err
	}
	if b.empty && b.endsWithConnection() {
		// A peer that crashes as it begins its answer leaves a head and a closed connection.
		return n, io.ErrUnexpectedEOF
	}
	if nameErr := checkNames(b.response.Trailer); nameErr != nil {
		return n, nameErr
	}
	return n, err
}

// endsWithConnection reports whether the answer has a body without a length or chunks.
func (b *body) endsWithConnection() bool {
	return !Framed(b.response) && (b.response.Request == nil || b.response.Request.Method != http.MethodHead)
}
