package setup

import (
	"errors"
	"strings"
	"testing"
)

// TestNamesAreUnique guards against a configuration in which the second of two rows with the same name
// silently replaces the first.
func TestNamesAreUnique(t *testing.T) {
	for _, c := range []struct {
		name     string
		services []Service
		accounts []Account
		want     string
	}{
		{"services", []Service{{Name: "pool"}, {Name: "desk"}, {Name: "pool"}}, nil, "services 1 and 3 are both named pool"},
		{"accounts", nil, []Account{{Name: "a"}, {Name: "studio"}, {Name: "studio"}}, "accounts 2 and 3 are both named studio"},
	} {
		_, err := New(1, nil, c.services, c.accounts, Limits{})
		if !errors.Is(err, ErrConfig) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q", c.name, err, c.want)
		}
	}
}
