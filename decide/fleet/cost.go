package fleet

import (
	"maps"
	"slices"
)

type (
	// TokenUsage counts an account's tokens over a period.
	TokenUsage struct {
		Generated float64
		Prompt    float64
	}
)

const (
	// PromptWeight is the cost of a prompt token relative to a generated one. Prompts are
	// computed in large batches: the stand-in engine computes 8000 prompt tokens in the time of
	// about 800 generated ones.
	PromptWeight = 0.1
	// Unallocated is the key of a cost that can't be charged to any account.
	Unallocated = ""
)

// AllocateCost divides a cost among the accounts in proportion to their weighted tokens. The
// results add up to the cost. Without any tokens the whole cost is Unallocated.
func AllocateCost(cost float64, byAccount map[string]TokenUsage) map[string]float64 {
	total := 0.0
	for _, account := range slices.Sorted(maps.Keys(byAccount)) {
		total += byAccount[account].weighted()
	}
	if total <= 0 {
		return map[string]float64{Unallocated: cost}
	}
	parts := make(map[string]float64, len(byAccount))
	for account, tokens := range byAccount {
		parts[account] = cost * tokens.weighted() / total
	}
	return parts
}

// weighted returns the number of generated tokens with the same cost as the usage.
func (t TokenUsage) weighted() float64 { return max(t.Generated, 0) + PromptWeight*max(t.Prompt, 0) }
