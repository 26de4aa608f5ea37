package config

import (
	"time"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/table"
)

// Permit allows a caller's request to run. It names what the permission depends on and the table in
// which that was found. A request checks its permit again when it acts, since it may have waited or
// its process may have been paused, and the table may have changed meanwhile.
type Permit struct {
	// KeyHash is the hash of the caller's key. It is empty for a call that another daemon has
	// authenticated and whose key it did not forward.
	KeyHash string
	Account string
	// Route and Kind are set by Authorize.
	Route string
	Kind  table.Kind
	// next is the offset after the table's last record.
	next int64
}

// unchecked is the offset of a permit that has not been compared with any table.
const unchecked = -1

// NewPermit returns a permit for a call that another daemon has authorized. The table is always
// compared with it.
func NewPermit(keyHash, account, route string, kind table.Kind) Permit {
	return Permit{KeyHash: keyHash, Account: account, Route: route, Kind: kind, next: unchecked}
}

// Authenticate returns a permit for the account of a key. If the table is not known to be current,
// the key may belong to a new account, so the refusal is ConfigUnknown instead of Unauthorized.
func (s State) Authenticate(now time.Time, keyHash string) (Permit, *codes.Refusal) {
	if account, ok := s.tableState.AccountByKey(keyHash); ok {
		return Permit{KeyHash: keyHash, Account: account.Name, next: s.tableState.Next}, nil
	}
	if refusal := s.CheckServing(now); refusal != nil {
		return Permit{}, refusal
	}
	return Permit{}, codes.Refuse(codes.Unauthorized, "the key belongs to no account")
}

// Authorize returns the permit for a route of a kind, and the route.
func (s State) Authorize(now time.Time, permit Permit, route string, kind table.Kind) (Permit, table.Route, *codes.Refusal) {
	permit = NewPermit(permit.KeyHash, permit.Account, route, kind)
	refusal := s.CheckPermit(now, permit)
	permit.next = s.tableState.Next
	return permit, s.tableState.Routes[route], refusal
}

// CheckPermit returns a refusal if the daemon may not act on a permit now, or nil. The key and the
// route are looked up again if the table has changed since the permit was issued.
func (s State) CheckPermit(now time.Time, permit Permit) *codes.Refusal {
	if refusal := s.CheckServing(now); refusal != nil {
		return refusal
	}
	if permit.next == s.tableState.Next {
		return nil
	}
	if refusal := s.CheckKey(permit); refusal != nil {
		return refusal
	}
	route, ok := s.tableState.Routes[permit.Route]
	if !ok || route.Kind != permit.Kind || !route.Allows(permit.Account) {
		return codes.Refuse(codes.RouteUnknown, "account %s has no %s route %q", permit.Account, permit.Kind, permit.Route)
	}
	return nil
}

// CheckKey returns a refusal if the permit's key no longer belongs to its account, or nil.
func (s State) CheckKey(permit Permit) *codes.Refusal {
	if permit.KeyHash == "" {
		return nil
	}
	if account, ok := s.tableState.AccountByKey(permit.KeyHash); !ok || account.Name != permit.Account {
		return codes.Refuse(codes.Unauthorized, "the key belongs to no account")
	}
	return nil
}

// CheckServing returns a refusal if the daemon may not serve with its table, or nil.
func (s State) CheckServing(now time.Time) *codes.Refusal {
	serving, reason := s.Serving(now)
	if serving {
		return nil
	}
	return codes.Refuse(codes.ConfigUnknown, "daemon %s does not know its table to be current: %s", s.self, reason)
}
