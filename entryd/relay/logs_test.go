package relay

import (
	"strings"
	"sync"
	"testing"

	"lentilstage.dev/standin/stand"
)

// TestLineAfterFlush guards against a process that ends with a panic because a goroutine writes a log line after, or
// while, the logger stops.
func TestLineAfterFlush(t *testing.T) {
	var output stand.Output
	logger, flush := NewLogger(&output, false)
	logger.Info("Before.")
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range 100 {
				logger.Info("Meanwhile.")
			}
		})
	}
	flush()
	writers.Wait()
	logger.Info("After.")
	flush()
	if text := output.String(); !strings.Contains(text, "Before.") || strings.Contains(text, "After.") {
		t.Errorf("the output is %q, want the lines before the flush only", text)
	}
}
