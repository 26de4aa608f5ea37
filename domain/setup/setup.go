// Package setup describes what operators have configured for a deployment whose requests
// are passed on unchanged: routes, services, client accounts and limits, and the endpoints
// that run the services.
//
// # Usage
//
//	config, err := setup.New(version, routes, services, accounts, limits)
//	route, ok := config.Match(host, path)
//	account, ok := config.Holder(key)
//
// A Config is immutable after New. Lengths of time are rules of the configuration; what
// they lead to for one request is stored as a deadline.
package setup

import (
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// Kind says how often a request may run.
	Kind string

	// Share is the part of a route's requests that a service gets, by weight.
	Share struct {
		Service string
		Weight  int
	}

	// Route selects requests by host and path prefix.
	Route struct {
		Name   string
		Host   string
		Prefix string
		Kind   Kind
		// Timeout is the longest time that a caller is kept waiting for the whole answer.
		Timeout time.Duration
		// Target is the time to the answer, or to a stream's first event, that callers expect.
		Target time.Duration
		// GapTarget is the longest pause between two events of a stream.
		GapTarget time.Duration
		// Priority ranks routes; 0 is the most urgent.
		Priority int
		Shares   []Share
		// MaxAttempts bounds the endpoints to which one request may be sent.
		MaxAttempts int
		// Open routes need no key.
		Open bool
		// Resumable streams may continue at another endpoint after their last event.
		Resumable bool
	}

	// Engine describes the model engines of a service.
	Engine struct {
		// Slots is the number of requests that an engine runs in one batch.
		Slots int
		// Memory is the number of tokens that an engine keeps, running and cached.
		Memory int
		// EventTokens is the number of generated tokens in one event of a stream.
		EventTokens int
		// FetchPerMS is the number of kept tokens that an engine gets from another one in a
		// millisecond; 0 if it can't.
		FetchPerMS float64
	}

	// Scaling says how many endpoints of a service may be ordered in a data centre.
	Scaling struct {
		Min, Max int
		// BootTime is the time from the order to the first request.
		BootTime time.Duration
		// ReclaimablePrice is the price of a reclaimable endpoint as a part of the full one.
		ReclaimablePrice float64
		// Prices gives each data centre's price of a second of an endpoint.
		Prices map[string]float64
	}

	// Service is a group of equal endpoints.
	Service struct {
		Name           string
		MaxConnections int
		// Engine is nil for a plain service.
		Engine *Engine
		// Scaling is nil where nothing may be ordered.
		Scaling *Scaling
	}

	// Account is a client account with its allowance.
	Account struct {
		Name string
		Keys []string
		// Priority overrides a route's; it is negative if the account has none.
		Priority int
		// Rate and Burst are the allowance in units and units a second; 0 means no limit.
		Rate, Burst float64
		// InTokens says that a unit is a token rather than a request.
		InTokens bool
		// PlainTokens is what a request without token counts costs if InTokens is set.
		PlainTokens int
	}

	// Limits bound what a caller may send.
	Limits struct {
		MaxBody int64
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
	// Stream requests are answered by events; they run at most once unless they are resumable.
	Stream Kind = "Stream"
)

// ErrConfig reports a configuration that can't be used.
var ErrConfig = eris.New("invalid configuration")

// New returns a configuration with its indexes. It returns ErrConfig for a version below 1,
// a route without a service, and names or prefixes that occur twice.
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
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for i, r := range routes {
		if len(r.Shares) == 0 {
			return nil, eris.Wrapf(ErrConfig, "route %s has no service", r.Name)
		}
		prefixes := c.byHost[r.Host]
		if prefixes == nil {
			prefixes = map[string]int{}
			c.byHost[r.Host] = prefixes
		}
		if _, twice := prefixes[r.Prefix]; twice {
			return nil, eris.Wrapf(ErrConfig, "host %s has the prefix %s twice", r.Host, r.Prefix)
		}
		prefixes[r.Prefix] = i
	}
	for _, a := range accounts {
		c.Accounts[a.Name] = a
		for _, key := range a.Keys {
			if holder, twice := c.byKey[key]; twice && holder != a.Name {
				return nil, eris.Wrapf(ErrConfig, "accounts %s and %s hold the same key", holder, a.Name)
			}
			c.byKey[key] = a.Name
		}
	}
	return c, nil
}

// Match returns the route of the host with the longest prefix that begins the path.
func (c *Config) Match(host, path string) (Route, bool) {
	prefixes := c.byHost[host]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if i, ok := prefixes[path[:end+1]]; ok {
			return c.Routes[i], true
		}
	}
	return Route{}, false
}

// Holder returns the account that holds the key.
func (c *Config) Holder(key string) (Account, bool) {
	name, ok := c.byKey[key]
	return c.Accounts[name], ok
}

// HasAccounts reports whether callers need keys.
func (c *Config) HasAccounts() bool { return len(c.Accounts) > 0 }

// Repeatable reports whether a request that may have run can be sent again.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a number from 0 up to but without 1, by weight.
func (r Route) Pick(random float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := int(random * float64(total))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Cost returns what a request costs of the account's allowance. Tokens are those of prompt
// and answer together; 0 stands for a request that gives none.
func (a Account) Cost(tokens int) float64 {
	if !a.InTokens {
		return 1
	}
	if tokens == 0 {
		return float64(a.PlainTokens)
	}
	return float64(tokens)
}
