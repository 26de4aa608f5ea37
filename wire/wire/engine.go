package wire

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

type (
	// ChatMessage is one message of a chat.
	ChatMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	// ChatRequest requests a completion. POST /v1/chat/completions at daemons and engines.
	// Model is a route in requests of callers, and an endpoint version in requests of daemons.
	ChatRequest struct {
		Model     string        `json:"model"`
		Messages  []ChatMessage `json:"messages"`
		MaxTokens int           `json:"max_tokens,omitempty"`
		Stream    bool          `json:"stream,omitempty"`
		Seed      int64         `json:"seed,omitempty"`
		// Resume holds the tokens that were already generated. The engine continues after them.
		// Only daemons set it.
		Resume []string `json:"Resume,omitempty"`
	}

	// ChatDelta is the new text of a chunk.
	ChatDelta struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content,omitempty"`
	}

	// ChatChoice is the single choice of a chunk.
	ChatChoice struct {
		Index        int       `json:"index"`
		Delta        ChatDelta `json:"delta"`
		FinishReason *string   `json:"finish_reason"`
	}

	// ChatUsage counts the tokens of an answer. It is sent with the last chunk.
	ChatUsage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		// CachedTokens is the number of prompt and resumed tokens that were found in the engine's
		// cache or in an imported KV cache.
		CachedTokens int `json:"CachedTokens"`
		// ComputedTokens is the number of prompt and resumed tokens that were computed.
		ComputedTokens int `json:"ComputedTokens"`
	}

	// ChatChunk is the data of a server-sent event of an answer.
	ChatChunk struct {
		// ID is the Attempt-Id in chunks from an engine, and the Request-Id in chunks from
		// a daemon.
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Model   string       `json:"model"`
		Choices []ChatChoice `json:"choices"`
		Usage   *ChatUsage   `json:"usage,omitempty"`
		// Offset is the position of the chunk's token in the answer, from 0. Each chunk with
		// content contains exactly one token.
		Offset int `json:"Offset"`
	}

	// AnswerChoice is the single choice of a ChatAnswer.
	AnswerChoice struct {
		Index        int         `json:"index"`
		Message      ChatMessage `json:"message"`
		FinishReason string      `json:"finish_reason"`
	}

	// ChatAnswer is the reply to a request without streaming.
	ChatAnswer struct {
		ID      string         `json:"id"`
		Object  string         `json:"object"`
		Model   string         `json:"model"`
		Choices []AnswerChoice `json:"choices"`
		Usage   ChatUsage      `json:"usage"`
	}

	// EngineLoad is an engine's load report. GET /load.
	EngineLoad struct {
		// Time is the time at which the values were sampled. Reports lag behind it.
		Time    time.Time `json:"Time"`
		Running int       `json:"Running"`
		Queued  int       `json:"Queued"`
		// QueuedTokens is the number of prompt tokens that wait for prefill.
		QueuedTokens int `json:"QueuedTokens"`
		MaxRunning   int `json:"MaxRunning"`
		// PrefillPerSecond is the engine's prefill rate in prompt tokens per second.
		PrefillPerSecond float64  `json:"PrefillPerSecond"`
		CacheTokens      int      `json:"CacheTokens"`
		MaxCacheTokens   int      `json:"MaxCacheTokens"`
		Versions         []string `json:"Versions"`
	}

	// CacheEventKind is the type of a cache event.
	CacheEventKind string

	// CacheEvent reports a change of a block in an engine's prefix cache.
	CacheEvent struct {
		Sequence int64          `json:"Sequence"`
		Kind     CacheEventKind `json:"Kind"`
		// Block is the block's hash, as returned by PrefixBlocks.
		Block string `json:"Block"`
		// Version is the endpoint version that the block belongs to.
		Version string `json:"Version,omitempty"`
	}

	// CacheEvents is the reply to GET /events?from=N. A gap in the sequence numbers means that
	// events were lost.
	CacheEvents struct {
		Events []CacheEvent `json:"Events"`
		Next   int64        `json:"Next"`
	}

	// CancelRequest cancels an attempt. POST /cancel.
	CancelRequest struct {
		AttemptID string `json:"AttemptId"`
	}

	// KVExportRequest requests the KV cache of a running attempt. POST /kv/export.
	KVExportRequest struct {
		AttemptID string `json:"AttemptId"`
	}

	// KVCache is an exported KV cache. It is the reply to POST /kv/export and the body of
	// POST /kv/import.
	KVCache struct {
		AttemptID string `json:"AttemptId"`
		Version   string `json:"Version"`
		// Tokens is the number of prompt and answer tokens that the cache covers.
		Tokens int `json:"Tokens"`
		// Blocks are the prefix blocks that the cache covers.
		Blocks []string `json:"Blocks"`
		// Data is a placeholder for the content of the cache.
		Data []byte `json:"Data"`
	}

	// KVImportReply is the reply to POST /kv/import. The resumed request passes the handle in the
	// Kv-Handle header.
	KVImportReply struct {
		Handle string `json:"Handle"`
	}

	// EngineOrderKind is the type of an engine order.
	EngineOrderKind string

	// EngineOrder tells an engine to load or unload a version. POST /orders. An engine that
	// checks fencing numbers rejects an order whose number is below the highest one received.
	EngineOrder struct {
		FencingNumber int64           `json:"FencingNumber"`
		Kind          EngineOrderKind `json:"Kind"`
		Version       string          `json:"Version"`
		// Weights is the name of the artefact in the weight store.
		Weights string `json:"Weights,omitempty"`
	}

	// EngineOrderReply is the reply to an EngineOrder.
	EngineOrderReply struct {
		Accepted bool   `json:"Accepted"`
		Reason   string `json:"Reason,omitempty"`
	}
)

const (
	// CacheStored and CacheEvicted are the kinds of cache events.
	CacheStored  CacheEventKind = "Stored"
	CacheEvicted CacheEventKind = "Evicted"

	// OrderLoad and OrderUnload are the kinds of engine orders.
	OrderLoad   EngineOrderKind = "Load"
	OrderUnload EngineOrderKind = "Unload"

	// ChunkObject is the object name of a chunk in the chat completions form.
	ChunkObject = "chat.completion.chunk"
	// AnswerObject is the object name of an answer without streaming.
	AnswerObject = "chat.completion"
	// FinishStop and FinishLength are the finish reasons of a complete answer.
	FinishStop   = "stop"
	FinishLength = "length"
	// StreamDone is the data of the last event of a stream.
	StreamDone = "[DONE]"

	// BlockTokens is the number of tokens per prefix block.
	BlockTokens = 16
	// DefaultMaxTokens is the maximum answer length, in tokens, of a request that sets none.
	DefaultMaxTokens = 256
	// MaxAnswerTokens is the highest maximum answer length, in tokens, that a request can set.
	MaxAnswerTokens = 32768
)

// Check returns an error if a field of the request is missing or out of range.
func (r ChatRequest) Check() error {
	switch {
	case r.Model == "":
		return eris.New("model is missing")
	case len(r.Messages) == 0:
		return eris.New("messages is empty")
	case r.MaxTokens < 0 || r.MaxTokens > MaxAnswerTokens:
		return eris.Errorf("max_tokens %d is outside 0 to %d", r.MaxTokens, MaxAnswerTokens)
	}
	return nil
}

// Prompt returns the text of all messages, one per line, each prefixed with its role.
func (r ChatRequest) Prompt() string {
	var text strings.Builder
	for _, m := range r.Messages {
		text.WriteString(m.Role)
		text.WriteString(": ")
		text.WriteString(m.Content)
		text.WriteString("\n")
	}
	return text.String()
}

// TokenLimit returns the maximum answer length in tokens.
func (r ChatRequest) TokenLimit() int {
	if r.MaxTokens == 0 {
		return DefaultMaxTokens
	}
	return r.MaxTokens
}

// CountTokens estimates the number of tokens of a text by its number of words.
func CountTokens(text string) int { return len(strings.Fields(text)) }

// PrefixBlocks returns a hash for each full block of BlockTokens words. The hash covers all
// words up to the end of the block, so that equal hashes mean equal prefixes.
func PrefixBlocks(text string) []string {
	words := strings.Fields(text)
	hash := xxhash.New()
	blocks := make([]string, 0, len(words)/BlockTokens)
	for i, w := range words {
		_, _ = hash.WriteString(w)
		_, _ = hash.WriteString(" ")
		if (i+1)%BlockTokens == 0 {
			blocks = append(blocks, strconv.FormatUint(hash.Sum64(), 16))
		}
	}
	return blocks
}

// AnswerPrefix returns the prompt-dependent part of the stand-in engine's tokens: the first
// 8 hex digits of the prompt's SHA-256.
func AnswerPrefix(prompt string) string {
	sum := sha256.Sum256([]byte(prompt))
	return hex.EncodeToString(sum[:4])
}

// TokenText returns the token that the stand-in engine generates for the prompt at the offset.
// A client can use it to verify that an answer belongs to its prompt.
func TokenText(prompt string, offset int) string {
	return TokenTextForPrefix(AnswerPrefix(prompt), offset)
}

// TokenTextForPrefix is TokenText for a prefix from AnswerPrefix. It avoids hashing a long prompt again
// for each token.
func TokenTextForPrefix(prefix string, offset int) string {
	return prefix + "." + strconv.Itoa(offset) + " "
}
