package hold

import (
	"testing"
	"time"

	"lentilstage.dev/decide/cases"
)

// TestMigrate guards against a stream that stays on an endpoint until it is interrupted, and
// against a recomputation when the notice leaves time for an export.
func TestMigrate(t *testing.T) {
	type migrateCase struct {
		Name        string    `yaml:"Name"`
		LeftMs      int       `yaml:"LeftMs"`
		Remaining   int       `yaml:"Remaining"`
		TokenMs     int       `yaml:"TokenMs"`
		Context     int       `yaml:"Context"`
		WithoutTime bool      `yaml:"WithoutTime"`
		Want        Migration `yaml:"Want"`
	}
	now := time.Unix(1000, 0)
	for _, c := range cases.Load[migrateCase](t, "testdata/migrate.yaml") {
		d := Departure{
			Now: now, Deadline: now.Add(time.Duration(c.LeftMs) * time.Millisecond), Remaining: c.Remaining,
			TokenPeriod: time.Duration(c.TokenMs) * time.Millisecond, ContextTokens: c.Context,
		}
		if c.WithoutTime {
			d.Deadline = time.Time{}
		}
		if got := Migrate(d); got != c.Want {
			t.Errorf("%s: got %s, want %s", c.Name, got, c.Want)
		}
	}
}
