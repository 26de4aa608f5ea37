// Package search has helpers for property tests that search for failing schedules: fixed seeds, settings
// from the environment, random draws, and a check that a deliberately broken rule makes a test fail.
//
// # Usage
//
//	func TestMain(m *testing.M) { search.Main(m, 1) }
//
//	search.Configure(t, search.EnvInt("CLAIM_SEED", 1), 400, "30s")
//	rapid.Check(t, property)
//	if failure, found := search.Falsify(t, weakened); !found { ... }
package search

import (
	"flag"
	"fmt"
	"math/bits"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

type (
	// Failure holds the messages of an expected failure.
	Failure struct {
		// Text holds all messages. LastLine is the first line of the last message.
		Text     string
		LastLine string
	}

	// recorder stands in for a test, so that an expected failure does not fail the test itself.
	recorder struct {
		rapid.TB
		failed bool
		text   strings.Builder
		last   string
	}
)

var randomBit = rapid.Bool()

// Main runs a package's tests with a fixed seed, so that each run gives the same result. A seed on the
// command line takes precedence.
func Main(m *testing.M, seed int) {
	setFlag("rapid.seed", strconv.Itoa(seed))
	setFlag("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Configure sets rapid's seed, number of checks and time for shrinking, such as "30s".
func Configure(t *testing.T, seed, checks int, shrink string) {
	t.Helper()
	setFlag("rapid.seed", strconv.Itoa(seed))
	setFlag("rapid.checks", strconv.Itoa(checks))
	setFlag("rapid.nofailfile", "true")
	setFlag("rapid.shrinktime", shrink)
}

// setFlag sets a flag of rapid. It panics if rapid has no such flag or rejects the value.
func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// EnvInt returns the integer in an environment variable, or the fallback if it is unset or not an integer.
func EnvInt(name string, fallback int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return fallback
}

// Summary formats the counts, sorted by name.
func Summary(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// DrawInt draws a number from 0 to n-1 from single bits. rapid.IntRange prefers small numbers, which made
// rare events, such as a kill or a pause longer than the retention, too frequent.
func DrawInt(t *rapid.T, n int) int {
	value, width := 0, bits.Len(uint(n-1))+3
	for range width {
		value <<= 1
		if randomBit.Draw(t, "pick") {
			value++
		}
	}
	return value * n >> width
}

// Falsify checks a property that is expected to fail. It returns the failure and whether there was one.
func Falsify(t rapid.TB, property func(*rapid.T)) (Failure, bool) {
	t.Helper()
	r := &recorder{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, property)
	}()
	<-done
	return Failure{Text: r.text.String(), LastLine: r.last}, r.failed
}

func (r *recorder) Helper()             {}
func (r *recorder) Logf(string, ...any) {}
func (r *recorder) Log(...any)          {}
func (r *recorder) Errorf(format string, arguments ...any) {
	r.failed = true
	report := fmt.Sprintf(format, arguments...)
	r.text.WriteString(report + "\n")
	r.last, _, _ = strings.Cut(report, "\n")
}
func (r *recorder) Error(arguments ...any) { r.Errorf("%s", fmt.Sprint(arguments...)) }
func (r *recorder) Fatalf(format string, arguments ...any) {
	r.Errorf(format, arguments...)
	r.FailNow()
}
func (r *recorder) Fatal(arguments ...any) { r.Fatalf("%s", fmt.Sprint(arguments...)) }
func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}
func (r *recorder) Fail()        { r.failed = true }
func (r *recorder) Failed() bool { return r.failed }
