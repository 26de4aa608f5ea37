// Package search holds what the searches for failing schedules share: fixed seeds, settings
// from the environment, draws, and the check that a weakened rule is found.
//
// # Usage
//
//	func TestMain(m *testing.M) { search.Main(m, 1) }
//
//	search.Configure(t, search.Setting("CLAIM_SEED", 1), 400, "30s")
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
	// Failure is what an expected failure has reported.
	Failure struct {
		// Text has all that was reported, Last the first line of the last report.
		Text string
		Last string
	}

	// recorder takes the place of a test, so that an expected failure does not fail it.
	recorder struct {
		rapid.TB
		failed bool
		text   strings.Builder
		last   string
	}
)

var bit = rapid.Bool()

// Main runs a package's tests with a fixed seed, so that each run gives the same verdict. A
// seed on the command line goes before it.
func Main(m *testing.M, seed int) {
	set("rapid.seed", strconv.Itoa(seed))
	set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Configure sets the seed, the number of schedules and the time for shrinking.
func Configure(t *testing.T, seed, checks int, shrink string) {
	t.Helper()
	set("rapid.seed", strconv.Itoa(seed))
	set("rapid.checks", strconv.Itoa(checks))
	set("rapid.nofailfile", "true")
	set("rapid.shrinktime", shrink)
}

// set sets a flag of rapid; one that rapid doesn't have is a fault of the caller.
func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// Setting returns the number in an environment variable, or the fallback without one.
func Setting(name string, fallback int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return fallback
}

// Summary returns the counts as text, in the order of their names.
func Summary(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// Pick draws a number below n from single bits. IntRange prefers small numbers, so that rare
// events such as a kill or a pause past the retention came too often.
func Pick(t *rapid.T, n int) int {
	value, width := 0, bits.Len(uint(n-1))+3
	for range width {
		value <<= 1
		if bit.Draw(t, "pick") {
			value++
		}
	}
	return value * n >> width
}

// Falsify checks a property that must fail, and returns its failure and whether there was one.
func Falsify(t rapid.TB, property func(*rapid.T)) (Failure, bool) {
	t.Helper()
	r := &recorder{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, property)
	}()
	<-done
	return Failure{Text: r.text.String(), Last: r.last}, r.failed
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
