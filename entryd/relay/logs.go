package relay

import (
	"io"
	"log"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lentilstage.dev/decide/roster"
)

type (
	// lineWriter writes lines from one goroutine. A line that finds the queue full, or comes
	// above the rate, is dropped and counted, so that no request waits for its log lines.
	lineWriter struct {
		lines chan []byte
		done  chan struct{}
		out   io.Writer
		// second is the present one of the rate, left how many lines it may still take.
		second atomic.Int64
		left   atomic.Int64
	}

	// serverLog writes the HTTP server's own messages as structured lines.
	serverLog struct {
		logger logr.Logger
	}
)

const (
	// queuedLines and linesPerSecond bound the log under load: a daemon at its share of the
	// peak writes fewer than 200 lines a second.
	queuedLines    = 1024
	linesPerSecond = 400
)

// droppedLines counts the lines that were dropped by this process.
var droppedLines atomic.Int64

// NewLogger returns a logger that writes JSON lines to the output and never blocks, and a
// function that writes what is queued and stops it.
func NewLogger(out io.Writer, verbose bool) (logr.Logger, func()) {
	w := &lineWriter{lines: make(chan []byte, queuedLines), done: make(chan struct{}), out: out}
	go w.run()
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.TimeKey, config.MessageKey, config.LevelKey, config.NameKey = "Time", "Message", "Level", "Part"
	level := zap.InfoLevel
	if verbose {
		level = zap.DebugLevel
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.AddSync(w), level)
	return zapr.NewLogger(zap.New(core)), func() {
		close(w.lines)
		<-w.done
	}
}

// Write queues a line.
func (w *lineWriter) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if w.second.Swap(now) != now {
		w.left.Store(linesPerSecond)
	}
	if w.left.Add(-1) < 0 {
		droppedLines.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		droppedLines.Add(1)
	}
	return len(line), nil
}

func (w *lineWriter) run() {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		for len(w.lines) > 0 && len(batch) < 32<<10 {
			batch = append(batch, <-w.lines...)
		}
		// There is nowhere to report that the output is gone.
		_, _ = w.out.Write(batch)
	}
}

// Write logs a message of the HTTP server.
func (s serverLog) Write(line []byte) (int, error) {
	s.logger.Info("Server message.", "Text", string(line))
	return len(line), nil
}

func errorLog(logger logr.Logger) *log.Logger {
	return log.New(serverLog{logger: logger.WithName("server")}, "", 0)
}

// logChanges writes a line for each change of the endpoints.
func (d *Daemon) logChanges(changes []roster.Change) {
	for _, c := range changes {
		e := c.Endpoint
		d.logger.WithName("endpoints").Info("Endpoint changed.", "Reason", c.Reason, "Endpoint", e.ID, "Service", e.Service,
			"Address", e.Address, "DataCentre", e.DataCentre, "Version", e.Version, "Reclaimable", e.Reclaimable)
		if c.Reason != roster.Joined && c.Reason != roster.Updated {
			d.pool.forget(e.Address)
		}
	}
}
