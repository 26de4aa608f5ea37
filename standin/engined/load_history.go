package main

import (
	"context"
	"sync"
	"time"

	"lentilstage.dev/wire/wire"
)

type (
	// loadHistory records load reports and makes each one visible after the lag.
	loadHistory struct {
		lag    time.Duration
		report func(time.Time) wire.EngineLoad

		mutex sync.Mutex
		// reports are in order of time; readers see the first one.
		reports []wire.EngineLoad
	}
)

// reportPeriod is the time between two load reports.
const reportPeriod = 50 * time.Millisecond

func newLoadHistory(lag time.Duration, report func(time.Time) wire.EngineLoad) *loadHistory {
	return &loadHistory{lag: lag, report: report, reports: []wire.EngineLoad{report(time.Now())}}
}

func (l *loadHistory) run(ctx context.Context) {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			report := l.report(now)
			l.mutex.Lock()
			l.reports = append(l.reports, report)
			l.dropExpired(now)
			l.mutex.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

func (l *loadHistory) dropExpired(now time.Time) {
	for len(l.reports) > 1 && now.Sub(l.reports[1].Time) >= l.lag {
		l.reports = l.reports[1:]
	}
}

// visible returns the newest report that is at least as old as the lag.
func (l *loadHistory) visible(now time.Time) wire.EngineLoad {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.dropExpired(now)
	return l.reports[0]
}
