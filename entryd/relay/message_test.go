package relay

import (
	"reflect"
	"strings"
	"testing"
)

// TestFieldNumbersDiffer guards against two fields of a message with the same number: the encoding leaves out both
// without an error.
func TestFieldNumbersDiffer(t *testing.T) {
	for _, value := range []any{message{}, outcomes{}, referral{}, totals{}, leave{}} {
		fields := map[string]string{}
		kind := reflect.TypeOf(value)
		for i := range kind.NumField() {
			f := kind.Field(i)
			number, _, _ := strings.Cut(f.Tag.Get("cbor"), ",")
			if other, taken := fields[number]; taken {
				t.Errorf("%s: %s and %s have the number %s", kind.Name(), other, f.Name, number)
			}
			fields[number] = f.Name
		}
	}
}
