package main

import (
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"

	"lentilstage.dev/standin/stand"
	"lentilstage.dev/wire/wire"
)

type (
	// importedKV is an imported KV cache that no request has used yet.
	importedKV struct {
		version string
		// prefix is the answer prefix, which identifies the prompt.
		prefix string
		tokens int
		blocks []string
	}

	// kvStore holds the imported KV caches by handle.
	kvStore struct {
		mutex    sync.Mutex
		byHandle map[string]*importedKV
		handles  []string
	}
)

const (
	// maxImports limits the unused imports; the oldest is dropped for a new one.
	maxImports = 256
	// prefixSize is the length in bytes of the answer prefix at the start of the data.
	prefixSize = 8
)

func newKVStore() *kvStore { return &kvStore{byHandle: map[string]*importedKV{}} }

func (k *kvStore) put(cache *importedKV) string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	handle := uuid.NewString()
	k.byHandle[handle] = cache
	k.handles = append(k.handles, handle)
	if len(k.handles) > maxImports {
		delete(k.byHandle, k.handles[0])
		k.handles = k.handles[1:]
	}
	return handle
}

// pop removes and returns the import with the handle, or returns nil.
func (k *kvStore) pop(handle string) *importedKV {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	cache := k.byHandle[handle]
	delete(k.byHandle, handle)
	return cache
}

// cachedTokens returns the number of the attempt's context tokens that the import covers. An import
// of another version or another text covers none.
func (i *importedKV) cachedTokens(a *attempt) int {
	if i.version != a.version || i.prefix != a.prefix {
		return 0
	}
	for n := range min(len(i.blocks), len(a.blocks)) {
		if i.blocks[n] != a.blocks[n] {
			return 0
		}
	}
	return min(i.tokens, a.contextTokens)
}

// exportKV answers with the KV cache of a running attempt. The attempt continues.
func (s *service) exportKV(c *fiber.Ctx) error {
	order, err := stand.Body[wire.KVExportRequest](c)
	if err != nil {
		return err
	}
	a, produced, found := s.batch.find(order.AttemptID)
	if !found {
		return fiber.NewError(fiber.StatusNotFound, "the attempt does not run or its context is not computed")
	}
	cache := wire.KVCache{
		AttemptID: a.id,
		Version:   a.version,
		Tokens:    a.contextTokens + produced - len(a.resumed),
		Blocks:    a.allBlocks(produced),
	}
	cache.Data = append([]byte(a.prefix), make([]byte, cache.Tokens*s.settings.kvBytes)...)
	s.simulateTransfer(len(cache.Data))
	return c.JSON(cache)
}

func (s *service) importKV(c *fiber.Ctx) error {
	cache, err := stand.Body[wire.KVCache](c)
	if err != nil {
		return err
	}
	if len(cache.Data) < prefixSize {
		return fiber.NewError(fiber.StatusBadRequest, "Data is too short")
	}
	s.simulateTransfer(len(cache.Data))
	handle := s.kv.put(&importedKV{
		version: cache.Version,
		prefix:  string(cache.Data[:prefixSize]),
		tokens:  cache.Tokens,
		blocks:  cache.Blocks,
	})
	return c.JSON(wire.KVImportReply{Handle: handle})
}

// simulateTransfer sleeps for the time that copying the bytes takes at -kv-rate.
func (s *service) simulateTransfer(bytes int) {
	time.Sleep(time.Duration(float64(bytes) / s.settings.kvRate * float64(time.Second)))
}
