package itest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/wire"
)

type (
	// chat is a model request of a caller, with a check of its answer. After a broken connection the
	// caller reconnects to the next address.
	chat struct {
		addresses  []string
		key        string
		route      string
		prompt     string
		wantTokens int
		id         string
		deadline   time.Time

		// received holds the tokens so far; reconnects counts the attempts after the first.
		received   []string
		lastID     string
		reconnects int
		// onToken is called after each token, if set.
		onToken func(count int)
	}

	// refusedError is a refusal that a caller received.
	refusedError struct {
		refusal codes.Refusal
	}
)

// httpClient opens a connection for each request, as callers behind a load balancer do.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func newChat(addresses []string, route, prompt string, wantTokens int) *chat {
	return &chat{
		addresses: addresses, key: counterKey, route: route, prompt: prompt, wantTokens: wantTokens,
		id: string(ident.NewRequestID()), deadline: time.Now().Add(60 * time.Second),
	}
}

// run sends the request and returns nil once the answer is complete and correct.
func (c *chat) run() error {
	for {
		address := c.addresses[c.reconnects%len(c.addresses)]
		complete, err := c.connect(address)
		if complete {
			return c.check()
		}
		if refused, ok := err.(*refusedError); ok && refused.refusal.RetryAt.IsZero() {
			return err
		}
		if time.Now().After(c.deadline) {
			return fmt.Errorf("no complete answer by the deadline after %d tokens and %d reconnects: %w", len(c.received), c.reconnects, err)
		}
		c.reconnects++
		<-time.After(20 * time.Millisecond)
	}
}

// connect sends the request, or resumes its answer, on one connection. It reports whether the answer is
// complete.
func (c *chat) connect(address string) (bool, error) {
	body, _ := json.Marshal(wire.ChatRequest{
		Model: c.route, Stream: true, MaxTokens: c.wantTokens,
		Messages: []wire.ChatMessage{{Role: "user", Content: c.prompt}},
	})
	method, path, content := http.MethodPost, "/v1/chat/completions", io.Reader(bytes.NewReader(body))
	if len(c.received) > 0 {
		method, path, content = http.MethodGet, "/v1/requests/"+c.id+"/events", http.NoBody
	}
	request, err := http.NewRequest(method, "http://"+address+path, content)
	if err != nil {
		return false, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set(wire.HeaderRequestID, c.id)
	if len(c.received) > 0 {
		request.Header.Set(wire.HeaderLastEventID, c.lastID)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return false, readRefusal(response)
	}
	return c.read(wire.NewEventReader(response.Body))
}

// read receives tokens until the answer is complete or the connection ends.
func (c *chat) read(events *wire.EventReader) (bool, error) {
	for {
		event, err := events.Next()
		if err != nil {
			return false, err
		}
		if event.Event == "error" {
			var refusal codes.Refusal
			_ = json.Unmarshal(event.Data, &refusal)
			return false, &refusedError{refusal}
		}
		if event.Event != "" {
			continue
		}
		chunk, err := wire.Decode[wire.ChatChunk](event.Data)
		if err != nil {
			return false, err
		}
		choice := chunk.Choices[0]
		if choice.Delta.Content != "" {
			if chunk.Offset != len(c.received) || event.ID == "" {
				return false, fmt.Errorf("event %q has offset %d after %d tokens", event.ID, chunk.Offset, len(c.received))
			}
			c.lastID = event.ID
			c.received = append(c.received, choice.Delta.Content)
			if c.onToken != nil {
				c.onToken(len(c.received))
			}
		}
		if choice.FinishReason != nil {
			return true, nil
		}
	}
}

// check compares the answer with the tokens that a stand-in engine generates for the prompt.
func (c *chat) check() error {
	if len(c.received) != c.wantTokens {
		return fmt.Errorf("the answer has %d tokens, want %d", len(c.received), c.wantTokens)
	}
	prompt := wire.ChatRequest{Messages: []wire.ChatMessage{{Role: "user", Content: c.prompt}}}.Prompt()
	for i, token := range c.received {
		if want := wire.TokenText(prompt, i); token != want {
			return fmt.Errorf("token %d is %q, want %q", i, token, want)
		}
	}
	return nil
}

// Error returns the refusal as text.
func (e *refusedError) Error() string { return e.refusal.Error() }

func readRefusal(response *http.Response) error {
	data, _ := io.ReadAll(response.Body)
	var refusal codes.Refusal
	if err := json.Unmarshal(data, &refusal); err != nil || refusal.Code == 0 {
		return fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(data)))
	}
	return &refusedError{refusal}
}
