package main

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"

	"lentilstage.dev/domain/value"
	"lentilstage.dev/standin/stand"
	"lentilstage.dev/wire/wire"
)

type (
	// versions holds the loaded versions and executes load and unload orders.
	versions struct {
		fenced    bool
		coldStart time.Duration
		// store is the weight store's address, or empty if weights are not read.
		store string

		mutex   sync.Mutex
		fence   int64
		loaded  value.Set[string]
		loading map[string]context.CancelFunc
	}
)

func newVersions(o settings, names []string) *versions {
	return &versions{
		fenced:    o.fenced,
		coldStart: o.coldStart,
		store:     o.weights,
		loaded:    value.NewSet(names...),
		loading:   map[string]context.CancelFunc{},
	}
}

func (v *versions) has(name string) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.loaded.Has(name)
}

func (v *versions) list() []string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.loaded.Sorted()
}

// order executes an order. A load continues in the background until the context ends. A fenced
// engine rejects an order whose fencing number is below the highest one seen.
func (v *versions) order(ctx context.Context, order wire.EngineOrder) wire.EngineOrderReply {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.fenced && order.FencingNumber < v.fence {
		return wire.EngineOrderReply{Reason: "FencingNumber is below the highest seen"}
	}
	v.fence = max(v.fence, order.FencingNumber)
	cancel, loading := v.loading[order.Version]
	switch {
	case order.Kind == wire.OrderLoad && !loading && !v.loaded.Has(order.Version):
		loadCtx, cancel := context.WithCancel(ctx)
		v.loading[order.Version] = cancel
		go v.load(loadCtx, order)
	case order.Kind == wire.OrderUnload:
		if loading {
			cancel()
			delete(v.loading, order.Version)
		}
		v.loaded = v.loaded.Without(order.Version)
	}
	return wire.EngineOrderReply{Accepted: true}
}

// load marks the version as loaded once its weights are read and the cold start is over.
func (v *versions) load(ctx context.Context, order wire.EngineOrder) {
	var err error
	if v.store != "" {
		err = readWeights(ctx, v.store, cmp.Or(order.Weights, order.Version))
	}
	if err == nil {
		select {
		case <-time.After(v.coldStart):
		case <-ctx.Done():
		}
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if ctx.Err() != nil {
		return
	}
	delete(v.loading, order.Version)
	if err == nil {
		v.loaded = v.loaded.With(order.Version)
	}
}

func (s *service) order(c *fiber.Ctx) error {
	order, err := stand.Body[wire.EngineOrder](c)
	if err != nil {
		return err
	}
	if order.Version == "" || (order.Kind != wire.OrderLoad && order.Kind != wire.OrderUnload) {
		return fiber.NewError(fiber.StatusBadRequest, "Version is missing or Kind is neither Load nor Unload")
	}
	answer := s.versions.order(s.ctx, order)
	if !answer.Accepted {
		c.Status(fiber.StatusConflict)
	}
	return c.JSON(answer)
}
