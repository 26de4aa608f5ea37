// Package answer decides which answers are whole and well-formed.
//
// All that reads answers uses it: the answers of endpoints, of the platform's log and cloud, and of other daemons.
//
// An answer without a length or chunks ends with its connection. It is whole only if the peer has ended the connection
// in order. If the connection is reset while the request is still being written, the system may report that to the
// write alone, so that reads see an ordinary end. Conn therefore combines what reads and writes have been told.
//
// # Usage
//
//	conn := answer.NewConn(dialled)
//	client := &http.Client{Transport: answer.Wrap(&http.Transport{})}
package answer
