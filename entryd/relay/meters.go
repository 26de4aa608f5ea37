package relay

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"lentilstage.dev/decide/intake"
)

// meters holds a daemon's counters, gauges and latency histograms. Histograms are in milliseconds.
type meters struct {
	registry metrics.Registry
}

// histogramSize and histogramAlpha define an exponentially decaying sample that favours the last five
// minutes.
const (
	histogramSize  = 256
	histogramAlpha = 0.015
)

func newMeters() *meters { return &meters{registry: metrics.NewRegistry()} }

// count adds one to a counter.
func (m *meters) count(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// add adds an amount to a counter.
func (m *meters) add(name string, amount int64) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(amount)
}

// setGauge sets the value of a gauge.
func (m *meters) setGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

// observe adds a duration to a histogram.
func (m *meters) observe(name string, length time.Duration) {
	m.histogram(name).Update(length.Milliseconds())
}

func (m *meters) histogram(name string) metrics.Histogram {
	return m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSize, histogramAlpha))
	}).(metrics.Histogram)
}

// serveMetrics writes all metrics as text, a name and a value per line.
func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	d.meters.setGauge("Requests.Open", d.openRequests.Load())
	held := d.gate.Held()
	d.meters.setGauge("Connections.Callers", int64(held.Connections[intake.Callers]))
	d.meters.setGauge("Connections.Ready", int64(held.Connections[intake.Ready]))
	d.meters.setGauge("Connections.Control", int64(held.Connections[intake.Control]))
	d.meters.setGauge("Connections.Metrics", int64(held.Connections[intake.Metrics]))
	d.meters.setGauge("Connections.Endpoints", int64(d.pool.count()))
	d.meters.setGauge("Held.HeadBytes", held.HeadBytes)
	d.meters.setGauge("Held.BodyBytes", held.BodyBytes)
	d.meters.setGauge("Held.ResponseBytes", held.ResponseBytes)
	d.meters.setGauge("Log.Dropped", droppedLines.Load())
	var text strings.Builder
	d.meters.registry.Each(func(name string, value any) {
		label := "lentilstage_" + strings.ToLower(strings.ReplaceAll(name, ".", "_"))
		switch v := value.(type) {
		case metrics.Counter:
			fmt.Fprintf(&text, "%s %d\n", label, v.Count())
		case metrics.Gauge:
			fmt.Fprintf(&text, "%s %d\n", label, v.Value())
		case metrics.Histogram:
			s := v.Snapshot()
			fmt.Fprintf(&text, "%s_count %d\n", label, s.Count())
			for i, q := range s.Percentiles([]float64{0.5, 0.95, 0.99}) {
				fmt.Fprintf(&text, "%s{quantile=\"%s\"} %.0f\n", label, []string{"0.5", "0.95", "0.99"}[i], q)
			}
		}
	})
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if _, err := w.Write([]byte(text.String())); err != nil {
		d.logger.WithName("metrics").V(1).Info("Metrics not sent.", "Error", err.Error())
	}
}
