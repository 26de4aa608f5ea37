package main

import (
	"maps"
	"sync"

	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/wire"
)

type (
	// orderStore holds the orders, the number of executions and the highest fencing number of each
	// key.
	orderStore struct {
		mutex                 sync.Mutex
		count                 int64
		orders                map[string]wire.PlacedOrder
		executionCounts       map[string]int
		highestFencingNumbers map[string]int64
	}
)

func newOrderStore() *orderStore {
	return &orderStore{orders: map[string]wire.PlacedOrder{}, executionCounts: map[string]int{}, highestFencingNumbers: map[string]int64{}}
}

// place executes an order. It returns false if fencing is on and the fencing number is below the
// highest one seen for the key.
func (o *orderStore) place(key string, fencingNumber int64, fenced bool, body []byte) (wire.PlacedOrder, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if fenced && fencingNumber < o.highestFencingNumbers[key] {
		return wire.PlacedOrder{}, false
	}
	o.highestFencingNumbers[key] = max(fencingNumber, o.highestFencingNumbers[key])
	o.count++
	o.executionCounts[key]++
	order := wire.PlacedOrder{Key: key, Number: o.count, BodyHash: ident.Fingerprint(key, body)}
	o.orders[key] = order
	return order, true
}

func (o *orderStore) status(key string) (wire.PlacedOrder, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	order, found := o.orders[key]
	return order, found
}

// executions returns how many times an order was executed for each key.
func (o *orderStore) executions() map[string]int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return maps.Clone(o.executionCounts)
}
