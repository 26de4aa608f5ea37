package relay

import (
	"io"
	"log"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lentilstage.dev/decide/roster"
)

type (
	// lineWriter writes log lines in one goroutine. A line is dropped and counted if the queue is
	// full or the rate is exceeded, so that no request waits for its log lines.
	lineWriter struct {
		// lines is never closed, since lines may be written while the writer stops and afterwards. flushing is
		// closed instead; isFlushed is set first.
		lines     chan []byte
		flushing  chan struct{}
		isFlushed atomic.Bool
		done      chan struct{}
		out       io.Writer
		// second is the current second of the rate limit, and remaining is how many lines it still
		// admits.
		second    atomic.Int64
		remaining atomic.Int64
	}

	// serverLog writes the HTTP server's own messages as structured lines.
	serverLog struct {
		logger logr.Logger
	}
)

const (
	// maxChangeLines is the number of changes at once that get a line each.
	maxChangeLines = 8
	// queuedLines and linesPerSecond limit the log under load: a daemon at its share of the peak
	// writes fewer than 200 lines a second.
	queuedLines    = 1024
	linesPerSecond = 400
)

// droppedLines counts the lines that this process has dropped.
var droppedLines atomic.Int64

// NewLogger returns a logger that writes JSON lines to the output and never blocks. The returned
// function writes the queued lines and stops the logger, which drops and counts later lines.
func NewLogger(out io.Writer, verbose bool) (logr.Logger, func()) {
	w := &lineWriter{lines: make(chan []byte, queuedLines), flushing: make(chan struct{}), done: make(chan struct{}), out: out}
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
		if !w.isFlushed.Swap(true) {
			close(w.flushing)
		}
		<-w.done
	}
}

// Write queues a line, or drops it.
func (w *lineWriter) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if w.second.Swap(now) != now {
		w.remaining.Store(linesPerSecond)
	}
	if w.isFlushed.Load() || w.remaining.Add(-1) < 0 {
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
	for {
		select {
		case line := <-w.lines:
			batch = w.writeBatch(append(batch[:0], line...))
		case <-w.flushing:
			for len(w.lines) > 0 {
				batch = w.writeBatch(batch[:0])
			}
			return
		}
	}
}

// writeBatch writes lines and those in the queue, up to a limit, and returns the buffer for the next ones.
func (w *lineWriter) writeBatch(batch []byte) []byte {
	for len(w.lines) > 0 && len(batch) < 32<<10 {
		batch = append(batch, <-w.lines...)
	}
	// There is nowhere to report a failed write.
	_, _ = w.out.Write(batch)
	return batch
}

// Write logs a message of the HTTP server.
func (s serverLog) Write(line []byte) (int, error) {
	s.logger.Info("Server message.", "Text", string(line))
	return len(line), nil
}

func errorLog(logger logr.Logger) *log.Logger {
	return log.New(serverLog{logger: logger.WithName("server")}, "", 0)
}

// logChanges writes a line for each change of an endpoint, or if there are many at once, a line for each
// kind of change. It closes the idle connections to an
// endpoint that has restarted, left or gone.
func (d *Daemon) logChanges(changes []roster.Change) {
	logger := d.logger.WithName("endpoints")
	byReason := map[roster.Reason][]string{}
	for _, c := range changes {
		e := c.Endpoint
		if len(changes) > maxChangeLines {
			byReason[c.Reason] = append(byReason[c.Reason], e.ID)
		} else {
			logger.Info("Endpoint changed.", "Reason", c.Reason, "Endpoint", e.ID, "Service", e.Service,
				"Address", e.Address, "DataCentre", e.DataCentre, "Version", e.Version, "State", e.State, "Reclaimable", e.Reclaimable, "Cold", !e.WarmAt.IsZero())
		}
		if c.Reason != roster.Joined && c.Reason != roster.Updated {
			d.pool.closeIdle(e.Address)
		}
	}
	for reason, ids := range byReason {
		logger.Info("Endpoints changed.", "Reason", reason, "Endpoints", strings.Join(ids, " "))
	}
}
