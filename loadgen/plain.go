package main

import (
	"context"
	"net/http"
	"slices"
	"time"

	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/wire"
)

// sendOrder sends an unrepeatable call. After a broken connection, or a retryable refusal
// that leaves the outcome unknown, it retries with the same key. A refusal that promises
// "not run" is final.
func (g *generator) sendOrder(ctx context.Context, c call, deadline time.Time) result {
	key := ident.NewKey()
	r := result{key: key, outcome: outcomeUnknown}
	for tries := 0; ; tries++ {
		request := g.newRequest(http.MethodPost, "/app/"+c.kind.name+"/orders", c.body, c, deadline)
		request.Header.Set(wire.HeaderIdempotencyKey, key)
		status, body, err := g.exchange(request.WithContext(ctx))
		refusal := parseRefusal(body)
		switch {
		case err != nil:
		case refusal != nil:
			r.refusals = append(r.refusals, refusal.Code)
			if refusal.NotRun {
				r.outcome = outcomeRefused
				return r
			}
			if !retryable(refusal) {
				return r
			}
		case status == http.StatusCreated:
			r.outcome = outcomeComplete
			r.fault = checkOrder(body, key, c.body)
			if r.fault == "" {
				g.addPlacedKey(key)
			} else {
				r.outcome = outcomeWrong
			}
			return r
		default:
			r.outcome = outcomeFailed
			return r
		}
		if tries >= g.options.retries || !waitForRetry(ctx, refusal) {
			return r
		}
		r.retries++
	}
}

// checkOrder describes what is wrong with the answer to an order, or returns an empty string.
func checkOrder(answer []byte, key string, body []byte) string {
	placed, err := wire.Decode[wire.PlacedOrder](answer)
	switch {
	case err != nil:
		return "the answer to an order can't be read"
	case placed.Key != key:
		return "the answer belongs to the order " + placed.Key
	case body != nil && placed.BodyHash != ident.Fingerprint(key, body):
		return "the order was placed with another body"
	}
	return ""
}

// sendLookup reads the status of an order that was placed before. A 404 counts as complete:
// replicas share no state, so the service that answers may not have the order.
func (g *generator) sendLookup(ctx context.Context, c call, deadline time.Time) result {
	key, r := g.placedKey(c), result{outcome: outcomeUnknown}
	for tries := 0; ; tries++ {
		request := g.newRequest(http.MethodGet, "/app/"+c.kind.name+"/orders/"+key, nil, c, deadline)
		status, body, err := g.exchange(request.WithContext(ctx))
		refusal := parseRefusal(body)
		switch {
		case err != nil:
		case refusal != nil:
			r.refusals = append(r.refusals, refusal.Code)
			r.outcome = outcomeRefused
			if !retryable(refusal) {
				return r
			}
		case status == http.StatusOK:
			r.outcome = outcomeComplete
			if r.fault = checkOrder(body, key, nil); r.fault != "" {
				r.outcome = outcomeWrong
			}
			return r
		case status == http.StatusNotFound:
			r.outcome = outcomeComplete
			return r
		default:
			r.outcome = outcomeFailed
			return r
		}
		if tries >= g.options.retries || !waitForRetry(ctx, refusal) {
			return r
		}
		r.retries++
	}
}

// addPlacedKey stores the key of a placed order for lookups.
func (g *generator) addPlacedKey(key string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.placedKeys = append(g.placedKeys, key)
	if len(g.placedKeys) > maxPlacedKeys {
		g.placedKeys = slices.Delete(g.placedKeys, 0, maxPlacedKeys/2)
	}
}

// placedKey returns the key of a placed order, or a new one if there is none yet.
func (g *generator) placedKey(c call) string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(g.placedKeys) == 0 {
		return ident.NewKey()
	}
	return g.placedKeys[c.user%len(g.placedKeys)]
}
