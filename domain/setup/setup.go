// Package setup models the configuration of a deployment that forwards requests unchanged:
// routes, services, client accounts and limits, and the endpoints that run the services.
//
// # Usage
//
//	config, err := setup.New(version, routes, services, accounts, limits)
//	route, ok := config.Match(host, path)
//	account, ok := config.Holder(key)
//
// A Config is immutable after New. The configuration holds durations; for each request they
// are converted to a deadline, and only the deadline is stored.
package setup

import (
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// Kind defines whether a request may run more than once.
	Kind string

	// ServiceWeight is a service with its weight in the split of a route's requests.
	ServiceWeight struct {
		Service string
		Weight  int
	}

	// Route selects requests by host and path prefix.
	Route struct {
		Name   string
		Host   string
		Prefix string
		Kind   Kind
		// Timeout is the maximum time from a request to the end of its answer.
		Timeout time.Duration
		// LatencyTarget is the target time to the answer, or to the first event of a stream.
		LatencyTarget time.Duration
		// GapTarget is the target for the longest pause between two events of a stream.
		GapTarget time.Duration
		// Priority orders routes; 0 is the most urgent.
		Priority       int
		ServiceWeights []ServiceWeight
		// MaxAttempts is the maximum number of endpoints to which a request may be sent.
		MaxAttempts int
		// Public routes can be called without a key.
		Public bool
		// Resumable streams may be resumed at another endpoint after the last delivered event.
		Resumable bool
		// AllowedRegions are the regions whose endpoints may serve the requests; all if empty.
		AllowedRegions []string
	}

	// Engine describes the model engines that run a service.
	Engine struct {
		// Slots is the maximum number of requests in an engine's batch.
		Slots int
		// KVCacheTokens is the KV cache capacity of an engine in tokens, for running requests and cached
		// prefixes together.
		KVCacheTokens int
		// EventTokens is the number of generated tokens per stream event.
		EventTokens int
		// FetchTokensPerMS is the rate, in tokens per millisecond, at which an engine fetches cached
		// tokens from another engine; 0 if it can't.
		FetchTokensPerMS float64
	}

	// Scaling bounds the number of endpoints of a service that may be ordered in a data centre.
	Scaling struct {
		Min, Max int
		// BootTime is the time from the order until the endpoint can serve its first request.
		BootTime time.Duration
		// ReclaimablePriceRatio is the price of a reclaimable endpoint as a fraction of the full price.
		ReclaimablePriceRatio float64
		// Prices maps each data centre to its price per endpoint second.
		Prices map[string]float64
	}

	// Service is a group of interchangeable endpoints.
	Service struct {
		Name           string
		MaxConnections int
		// Engine is nil for a plain service.
		Engine *Engine
		// Scaling is nil if no endpoints may be ordered.
		Scaling *Scaling
		// ColdRate is the number of requests per second that an endpoint tolerates while it is cold, from all daemons
		// together; 0 if it tolerates all. ColdTime is how long a started endpoint is cold.
		ColdRate float64
		ColdTime time.Duration
	}

	// Account is a client account with its rate limit.
	Account struct {
		Name string
		Keys []string
		// Priority overrides the priority of the route; it is negative if the account sets none.
		Priority int
		// Rate is the rate limit in units per second, and Burst the bucket size in units. A Rate of
		// 0 means no limit.
		Rate, Burst float64
		// CountsTokens selects tokens as the unit instead of requests.
		CountsTokens bool
		// DefaultTokens is the cost in tokens of a request without token counts if CountsTokens is set.
		DefaultTokens int
		// AllowedRegions are the regions whose endpoints may serve the account's requests; all if empty.
		AllowedRegions []string
	}

	// Limits bounds the requests of callers.
	Limits struct {
		// MaxBodyBytes is the maximum size of a request body in bytes, MaxHeaderBytes that of its header; 0 if not set.
		MaxBodyBytes   int64
		MaxHeaderBytes int
		// HeaderTimeout limits the time for a request's header, IdleTimeout that of a connection without a request;
		// 0 if not set.
		HeaderTimeout, IdleTimeout time.Duration
	}

	// Config is one version of the configuration.
	Config struct {
		Version  int64
		Routes   []Route
		Services map[string]Service
		Accounts map[string]Account
		Limits   Limits

		byHost map[string]map[string]int
		byKey  map[string]string
	}
)

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "Idempotent"
	// Unrepeatable requests run at most once.
	Unrepeatable Kind = "Unrepeatable"
	// Stream requests are answered with a stream of events. They run at most once, unless the
	// route is resumable.
	Stream Kind = "Stream"
)

// ErrConfig reports an invalid configuration.
var ErrConfig = eris.New("invalid configuration")

// New builds a configuration and its lookup indexes. It returns ErrConfig if the version is
// below 1, a route has no service, a host has the same prefix twice, two services or two accounts
// have the same name, or two accounts share a key.
func New(version int64, routes []Route, services []Service, accounts []Account, limits Limits) (*Config, error) {
	if version < 1 {
		return nil, eris.Wrapf(ErrConfig, "version %d", version)
	}
	c := &Config{
		Version: version, Routes: routes, Limits: limits,
		Services: make(map[string]Service, len(services)),
		Accounts: make(map[string]Account, len(accounts)),
		byHost:   map[string]map[string]int{},
		byKey:    map[string]string{},
	}
	for i, s := range services {
		if _, duplicate := c.Services[s.Name]; duplicate {
			first := slices.IndexFunc(services, func(o Service) bool { return o.Name == s.Name })
			return nil, eris.Wrapf(ErrConfig, "services %d and %d are both named %s", first+1, i+1, s.Name)
		}
		c.Services[s.Name] = s
	}
	for i, r := range routes {
		if len(r.ServiceWeights) == 0 {
			return nil, eris.Wrapf(ErrConfig, "route %s has no service", r.Name)
		}
		prefixes := c.byHost[r.Host]
		if prefixes == nil {
			prefixes = map[string]int{}
			c.byHost[r.Host] = prefixes
		}
		if _, duplicate := prefixes[r.Prefix]; duplicate {
			return nil, eris.Wrapf(ErrConfig, "host %s has the prefix %s twice", r.Host, r.Prefix)
		}
		prefixes[r.Prefix] = i
	}
	for i, a := range accounts {
		if _, duplicate := c.Accounts[a.Name]; duplicate {
			first := slices.IndexFunc(accounts, func(o Account) bool { return o.Name == a.Name })
			return nil, eris.Wrapf(ErrConfig, "accounts %d and %d are both named %s", first+1, i+1, a.Name)
		}
		c.Accounts[a.Name] = a
		for _, key := range a.Keys {
			if owner, duplicate := c.byKey[key]; duplicate && owner != a.Name {
				return nil, eris.Wrapf(ErrConfig, "accounts %s and %s hold the same key", owner, a.Name)
			}
			c.byKey[key] = a.Name
		}
	}
	return c, nil
}

// Match returns the host's route with the longest matching path prefix. Only prefixes that end
// with a slash can match.
func (c *Config) Match(host, path string) (Route, bool) {
	prefixes := c.byHost[host]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if i, ok := prefixes[path[:end+1]]; ok {
			return c.Routes[i], true
		}
	}
	return Route{}, false
}

// AccountByKey returns the account that the key belongs to.
func (c *Config) AccountByKey(key string) (Account, bool) {
	name, ok := c.byKey[key]
	return c.Accounts[name], ok
}

// HasAccounts reports whether any accounts are configured, so that callers need keys.
func (c *Config) HasAccounts() bool { return len(c.Accounts) > 0 }

// Repeatable reports whether a request that may already have run can be retried.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService returns a service by weight, for a random number in the half-open interval [0, 1).
func (r Route) PickService(random float64) string {
	total := 0
	for _, s := range r.ServiceWeights {
		total += s.Weight
	}
	remaining := int(random * float64(total))
	for _, s := range r.ServiceWeights {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.ServiceWeights[len(r.ServiceWeights)-1].Service
}

// Cost returns the units that a request uses of the account's rate limit. The number of tokens
// is that of prompt and answer together; 0 means that the request has no token counts.
func (a Account) Cost(tokens int) float64 {
	if !a.CountsTokens {
		return 1
	}
	if tokens == 0 {
		return float64(a.DefaultTokens)
	}
	return float64(tokens)
}
