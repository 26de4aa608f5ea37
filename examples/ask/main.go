// Command ask sends one chat request to a daemon and prints the answer as it arrives. After
// a broken connection it reconnects with the request's identifier and continues after the
// last token that it received.
//
// # Usage
//
//	ask -daemon 127.0.0.1:8001 -key KEY -route stock-question "Is A2 vellum in stock?"
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/answer"
	"lentilstage.dev/wire/wire"
)

// chatCall holds the state of a chat request across connections.
type chatCall struct {
	daemons []string
	key     string
	id      string
	body    []byte
	// printed is the number of printed tokens, lastEventID the event identifier of the last one.
	printed     int
	lastEventID string
}

// maxConnections limits the connections for one answer.
const maxConnections = 10

var errIncomplete = errors.New("the connection ended before the answer was complete")

func main() {
	daemons := flag.String("daemon", "127.0.0.1:8001", "daemon `addresses`, separated by commas")
	key := flag.String("key", "", "the client account's `key`")
	route := flag.String("route", "stock-question", "`route` to ask")
	tokens := flag.Int("tokens", 16, "longest answer in `tokens`")
	flag.Parse()
	body, err := json.Marshal(wire.ChatRequest{
		Model: *route, Stream: true, MaxTokens: *tokens,
		Messages: []wire.ChatMessage{{Role: "user", Content: strings.Join(flag.Args(), " ")}},
	})
	if err != nil {
		fail(err)
	}
	c := &chatCall{
		daemons: strings.Split(*daemons, ","), key: *key,
		id: string(ident.NewRequestID()), body: body,
	}
	if err := c.ask(); err != nil {
		fail(err)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "ask:", err)
	os.Exit(1)
}

// ask prints the whole answer and reconnects to the next daemon if a connection breaks.
func (c *chatCall) ask() error {
	var err error
	for i := range maxConnections {
		daemon := c.daemons[i%len(c.daemons)]
		if err = c.connect(daemon, i > 0); err == nil {
			fmt.Println()
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return err
}

// connect sends the request, or requests the rest of the answer after a reconnect. It prints the
// answer and returns nil if it is complete.
func (c *chatCall) connect(daemon string, reconnect bool) error {
	method, path, body := http.MethodPost, "/v1/chat/completions", io.Reader(bytes.NewReader(c.body))
	if reconnect && c.printed > 0 {
		method, path, body = http.MethodGet, "/v1/requests/"+c.id+"/events", http.NoBody
	}
	request, err := http.NewRequest(method, "http://"+daemon+path, body)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set(wire.HeaderRequestID, c.id)
	if c.printed > 0 {
		request.Header.Set(wire.HeaderLastEventID, c.lastEventID)
	}
	client := &http.Client{Transport: answer.Wrap(&http.Transport{})}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("%s: %s", response.Status, text)
	}
	return c.printTokens(wire.NewEventReader(response.Body))
}

// printTokens prints new tokens until the end of the answer.
func (c *chatCall) printTokens(events *wire.EventReader) error {
	for {
		event, err := events.Next()
		if err != nil {
			return errIncomplete
		}
		if event.Event == "error" {
			return fmt.Errorf("%w: %s", errIncomplete, event.Data)
		}
		var chunk wire.ChatChunk
		if json.Unmarshal(event.Data, &chunk) != nil || len(chunk.Choices) == 0 {
			continue
		}
		choice := chunk.Choices[0]
		if choice.Delta.Content != "" && chunk.Offset == c.printed {
			fmt.Print(choice.Delta.Content)
			c.printed++
			c.lastEventID = event.ID
		}
		if choice.FinishReason != nil {
			return nil
		}
	}
}
