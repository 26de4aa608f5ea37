package main

import (
	"maps"
	"slices"
	"time"
)

type (
	// callType selects how a kind of traffic is sent and checked.
	callType int

	// kind is one kind of traffic in a shape. Its name is the name of its route.
	kind struct {
		name     string
		callType callType
		weight   int
		priority int
		// timeout is the time from sending a request to its deadline.
		timeout time.Duration
		// sharedWords and ownWords are the numbers of prompt words that all requests of the kind
		// share and that are drawn for each request; answerTokens is the mean length of an answer.
		sharedWords  int
		ownWords     int
		answerTokens int
		// turns is the number of turns of a chat; each request repeats the turns before it.
		turns int
		// replacesPrevious is set if a user's new request replaces the user's previous one.
		replacesPrevious bool
	}
)

const (
	typeChat callType = iota
	typeOrder
	typeLookup
)

// shapes holds the traffic of the two customers by kind. A report's figures depend
// on the sizes and weights, so each report names its shape.
var shapes = map[string][]kind{
	"tracewell": {
		{name: "spec-match", callType: typeChat, weight: 10, priority: 4, timeout: 2 * time.Minute, sharedWords: 2400, ownWords: 200, answerTokens: 180},
		{name: "stock-question", callType: typeChat, weight: 35, priority: 0, timeout: 30 * time.Second, sharedWords: 120, ownWords: 20, answerTokens: 40, turns: 12},
		{name: "quote-draft", callType: typeChat, weight: 15, priority: 0, timeout: time.Minute, sharedWords: 300, ownWords: 60, answerTokens: 160, turns: 4},
		{name: "order-placement", callType: typeOrder, weight: 10, priority: 1, timeout: 20 * time.Second},
		{name: "order-status", callType: typeLookup, weight: 30, priority: 2, timeout: 10 * time.Second},
	},
	"rutenett": {
		{name: "sheet-explanation", callType: typeChat, weight: 10, priority: 4, timeout: 2 * time.Minute, sharedWords: 100, ownWords: 2400, answerTokens: 220},
		{name: "formula-fix", callType: typeChat, weight: 18, priority: 1, timeout: 30 * time.Second, sharedWords: 200, ownWords: 300, answerTokens: 80},
		{name: "suggestion", callType: typeChat, weight: 45, priority: 0, timeout: 10 * time.Second, sharedWords: 60, ownWords: 24, answerTokens: 16, replacesPrevious: true},
		{name: "billing", callType: typeOrder, weight: 3, priority: 1, timeout: 20 * time.Second},
		{name: "licence-activation", callType: typeOrder, weight: 4, priority: 1, timeout: 20 * time.Second},
		{name: "licence-lookup", callType: typeLookup, weight: 20, priority: 2, timeout: 10 * time.Second},
	},
}

func shapeNames() []string { return slices.Sorted(maps.Keys(shapes)) }
