package route

import (
	"math/bits"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"lentilstage.dev/wire/wire"
)

type (
	// Block is the hash of a prompt's prefix up to the end of a block.
	Block uint64

	// PrefixIndex mirrors one engine's prefix cache. It is immutable: the With methods return a changed
	// copy that shares unchanged pages.
	//
	// It stores 32 bits of each block's hash in sets of eight, newest first, so that 600 endpoints
	// with MaxBlocks each take about 10 MB of a daemon's 32 MB.
	PrefixIndex struct {
		pages      [pageCount]*page
		blockCount int
		// next is the sequence number of the next event, valid once started.
		next          int64
		started       bool
		staleFraction float64
	}

	// page holds the tags of some sets; 0 marks an empty way.
	page [setsInPage][ways]uint32

	// indexEdit changes an index and copies each page at its first change. copiedPages has one bit for
	// each page copied so far.
	indexEdit struct {
		index       *PrefixIndex
		copiedPages uint64
	}
)

const (
	// MaxBlocks is the maximum number of blocks in an index.
	MaxBlocks = pageCount * setsInPage * ways

	pageCount  = 64
	setsInPage = 8
	ways       = 8

	// trustRecoveryEvents is the number of new events that restore trust from 0 to 1: about the events
	// of two long prompts.
	trustRecoveryEvents = 256
)

// Blocks converts the hashes from wire.PrefixBlocks to blocks.
func Blocks(hashes []string) []Block {
	blocks := make([]Block, 0, len(hashes))
	for _, h := range hashes {
		blocks = append(blocks, parseBlock(h))
	}
	return blocks
}

func parseBlock(hash string) Block {
	number, err := strconv.ParseUint(hash, 16, 64)
	if err != nil {
		// Some engines name their blocks in another format.
		number = xxhash.Sum64String(hash)
	}
	return Block(number)
}

// NewIndex returns an empty index.
func NewIndex() *PrefixIndex { return &PrefixIndex{} }

// Trust returns the expected fraction of the index that is still correct, from 0 to 1.
func (x *PrefixIndex) Trust() float64 { return 1 - x.staleFraction }

// Len returns the number of blocks in the index.
func (x *PrefixIndex) Len() int { return x.blockCount }

// Next returns the sequence number from which to request the engine's next events.
func (x *PrefixIndex) Next() int64 { return x.next }

// Cached returns the number of leading blocks that the engine is expected to hold. A block that is
// missing from the index counts as cached if a later one is present: engines cache a block only after
// all blocks before it and evict the end of a prefix first, so the missing block's event was lost.
// Within a gap, the step to the next lookup doubles each time.
func (x *PrefixIndex) Cached(blocks []Block) int {
	cached := 0
	for at, step := 0, 1; at < len(blocks); {
		if x.contains(blocks[at]) {
			at++
			cached, step = at, 1
			continue
		}
		at += step
		step *= 2
	}
	return cached
}

// WithEvents returns the index after a batch of cache events. Events already applied are skipped. A
// gap in the sequence lowers trust by the fraction of the index that the missing events may have
// changed, and each new event restores 1/trustRecoveryEvents. A batch that ends before the events
// already applied comes from a restarted engine, whose cache is empty.
func (x *PrefixIndex) WithEvents(batch wire.CacheEvents) *PrefixIndex {
	next := *x
	if next.started && batch.Next < next.next {
		next = PrefixIndex{}
	}
	edit := indexEdit{index: &next}
	for _, e := range batch.Events {
		if next.started && e.Sequence < next.next {
			continue
		}
		next.advanceTo(e.Sequence)
		next.next = e.Sequence + 1
		next.staleFraction = max(0, next.staleFraction-1.0/trustRecoveryEvents)
		if e.Kind == wire.CacheEvicted {
			edit.remove(parseBlock(e.Block))
		} else {
			edit.add(parseBlock(e.Block))
		}
	}
	if batch.Next > next.next {
		next.advanceTo(batch.Next)
	}
	return &next
}

// WithBlocks returns the index with the blocks of a prompt that was just sent to the engine, whose own
// events for them arrive seconds later.
func (x *PrefixIndex) WithBlocks(blocks []Block) *PrefixIndex {
	next := *x
	edit := indexEdit{index: &next}
	for _, b := range blocks {
		edit.add(b)
	}
	return &next
}

// advanceTo sets the expected sequence number and lowers trust for the numbers that were skipped.
func (x *PrefixIndex) advanceTo(sequence int64) {
	if x.started && sequence > x.next && x.blockCount > 0 {
		missing := float64(sequence - x.next)
		blockCount := float64(x.blockCount)
		x.staleFraction = 1 - (1-x.staleFraction)*blockCount/(blockCount+missing)
	}
	x.started = true
	x.next = sequence
}

func (x *PrefixIndex) contains(b Block) bool {
	p, s, tag := locate(b)
	if x.pages[p] == nil {
		return false
	}
	for _, t := range x.pages[p][s] {
		if t == tag {
			return true
		}
	}
	return false
}

// add puts the block first in its set and evicts the oldest block of a full set.
func (e *indexEdit) add(b Block) {
	set, tag := e.set(b)
	at := findTag(set, tag)
	if at < 0 {
		at = ways - 1
		if set[at] == 0 {
			e.index.blockCount++
		}
	}
	copy(set[1:at+1], set[:at])
	set[0] = tag
}

func (e *indexEdit) remove(b Block) {
	if !e.index.contains(b) {
		return
	}
	set, tag := e.set(b)
	at := findTag(set, tag)
	copy(set[at:], set[at+1:])
	set[ways-1] = 0
	e.index.blockCount--
}

// set returns the block's set, on a page that may be changed, and the block's tag.
func (e *indexEdit) set(b Block) (*[ways]uint32, uint32) {
	p, s, tag := locate(b)
	if e.copiedPages&(1<<p) == 0 {
		e.copiedPages |= 1 << p
		own := new(page)
		if e.index.pages[p] != nil {
			*own = *e.index.pages[p]
		}
		e.index.pages[p] = own
	}
	return &e.index.pages[p][s], tag
}

func findTag(set *[ways]uint32, tag uint32) int {
	for i, t := range set {
		if t == tag {
			return i
		}
	}
	return -1
}

// locate returns the page, set and tag of a block. Tag 0 marks an empty way.
func locate(b Block) (p, s int, tag uint32) {
	number := uint64(b)
	tag = uint32(bits.RotateLeft64(number, 32))
	return int(number % pageCount), int(number / pageCount % setsInPage), max(tag, 1)
}
