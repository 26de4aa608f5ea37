package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"lentilstage.dev/wire/wire"
)

type (
	// call is one planned request.
	call struct {
		kind kind
		// delay is the time since the previous call was sent.
		delay   time.Duration
		account int
		// user is the index of the chat or the typing user that the call belongs to.
		user int
		// request is the request of a model call, body the body of an order.
		request wire.ChatRequest
		body    []byte
	}

	// plan draws the calls from a seed. The same seed gives the same calls. A chat continues
	// with the answers that the stand-in engine generates, which the plan can compute.
	plan struct {
		random   *rand.Rand
		kinds    []kind
		rate     float64
		accounts int
		// userAccounts holds the account of each user.
		userAccounts []int
		chats        map[string][][]wire.ChatMessage
		orders       int
	}
)

// usersPerKind is the number of concurrent chats or typing users of a kind.
const usersPerKind = 24

func newPlan(seed uint64, kinds []kind, rate float64, accounts int) *plan {
	p := &plan{
		random:   rand.New(rand.NewPCG(seed, seed)),
		kinds:    kinds,
		rate:     rate,
		accounts: accounts,
		chats:    map[string][][]wire.ChatMessage{},
	}
	for range usersPerKind {
		p.userAccounts = append(p.userAccounts, p.drawAccount())
	}
	return p
}

// next returns the next call.
func (p *plan) next() call {
	c := call{
		kind:    p.drawKind(),
		delay:   time.Duration(p.random.ExpFloat64() / p.rate * float64(time.Second)),
		account: p.drawAccount(),
		user:    p.random.IntN(usersPerKind),
	}
	switch c.kind.callType {
	case typeChat:
		c.account = p.userAccounts[c.user]
		c.request = wire.ChatRequest{
			Model:     c.kind.name,
			Messages:  p.messages(c.kind, c.user),
			MaxTokens: c.kind.answerTokens/2 + p.random.IntN(c.kind.answerTokens),
			Stream:    true,
		}
		p.appendAnswer(c)
	case typeOrder:
		p.orders++
		c.body = fmt.Appendf(nil, `{"Item":"item-%d","Quantity":%d,"Order":%d}`, p.random.IntN(400), 1+p.random.IntN(20), p.orders)
	}
	return c
}

func (p *plan) drawKind() kind {
	total := 0
	for _, k := range p.kinds {
		total += k.weight
	}
	drawn := p.random.IntN(total)
	for _, k := range p.kinds {
		if drawn -= k.weight; drawn < 0 {
			return k
		}
	}
	return p.kinds[0]
}

// drawAccount returns an account's index; each account sends half as much as the one
// before it, so that a few accounts send most of the traffic.
func (p *plan) drawAccount() int {
	for i := range p.accounts - 1 {
		if p.random.IntN(2) == 0 {
			return i
		}
	}
	return p.accounts - 1
}

// messages returns the request's messages: the shared text and the request's own, or the chat
// so far and its next turn.
func (p *plan) messages(k kind, user int) []wire.ChatMessage {
	ownWords := wire.ChatMessage{Role: "user", Content: p.randomWords(k.ownWords)}
	opening := []wire.ChatMessage{{Role: "system", Content: sharedText(k)}}
	if k.turns == 0 {
		return append(opening, ownWords)
	}
	if p.chats[k.name] == nil {
		p.chats[k.name] = make([][]wire.ChatMessage, usersPerKind)
	}
	before := p.chats[k.name][user]
	if len(before) == 0 || len(before) > 2*k.turns {
		before = opening
	}
	return append(before[:len(before):len(before)], ownWords)
}

// appendAnswer adds the call's expected answer to its chat.
func (p *plan) appendAnswer(c call) {
	if c.kind.turns == 0 {
		return
	}
	prefix, answer := wire.AnswerPrefix(c.request.Prompt()), strings.Builder{}
	for i := range c.request.MaxTokens {
		answer.WriteString(wire.TokenTextForPrefix(prefix, i))
	}
	reply := wire.ChatMessage{Role: "assistant", Content: answer.String()}
	p.chats[c.kind.name][c.user] = append(c.request.Messages[:len(c.request.Messages):len(c.request.Messages)], reply)
}

func (p *plan) randomWords(count int) string {
	var text strings.Builder
	for range count {
		text.WriteString("w")
		text.WriteString(strconv.Itoa(p.random.IntN(100000)))
		text.WriteString(" ")
	}
	return text.String()
}

// sharedText returns the part of a prompt that all requests of the kind share, for instance a
// catalogue.
func sharedText(k kind) string {
	var text strings.Builder
	for i := range k.sharedWords {
		text.WriteString(k.name)
		text.WriteString(strconv.Itoa(i))
		text.WriteString(" ")
	}
	return text.String()
}
