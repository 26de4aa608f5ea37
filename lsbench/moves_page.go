package main

import (
	"bytes"
	"html/template"
	"image/color"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

type (
	// pageData is the input of the report's template.
	pageData struct {
		Seed  uint64
		Moves int
		Sizes []pageSize
	}

	pageSize struct {
		Name   string
		Rate   float64
		Tables []pageTable
		Plots  []template.HTML
	}

	pageTable struct {
		Name  string
		Heads []string
		Rows  [][]string
	}
)

var (
	// variantColors are the line and bar colours of the variants, in the same order.
	variantColors = []color.Color{
		color.RGBA{R: 0x1f, G: 0x6f, B: 0x8b, A: 0xff},
		color.RGBA{R: 0xc8, G: 0x6b, B: 0x2d, A: 0xff},
		color.RGBA{R: 0xe0, G: 0xb0, B: 0x60, A: 0xff},
	}

	pageTemplate = template.Must(template.New("moves").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Version moves</title>
<style>
body { font-family: sans-serif; max-width: 70rem; margin: 2rem auto; color: #222; }
table { margin: 1rem 0; border-collapse: collapse; font-size: 0.85rem; }
th, td { border-bottom: 1px solid #ccc; padding: 0.25rem 0.6rem; text-align: right; }
th:first-child, td:first-child { text-align: left; }
svg { max-width: 100%; height: auto; }
</style></head><body>
<h1>Version moves</h1>
<p>Seed {{.Seed}}, {{.Moves}} moves at each size, deadlines of 20 to 60 min. The baseline takes fixed steps
of 1%, 10%, 50% and 100% at equal times and takes a version back at 5% failures or slow requests. A move
ends right when a good version finishes before the deadline or a bad one is taken back. A bad version that
finished counts until the deadline.</p>
{{range .Sizes}}<h2>{{.Name}}, about {{.Rate}} requests/s on the route</h2>
{{range .Tables}}<table><tr><th>{{.Name}}</th>{{range .Heads}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{end}}{{range .Plots}}<p>{{.}}</p>
{{end}}{{end}}</body></html>
`))
)

// movesPage returns the report as an HTML page.
func movesPage(seed uint64, count int, runs []movesRun) ([]byte, error) {
	data := pageData{Seed: seed, Moves: count}
	for _, r := range runs {
		s := pageSize{Name: r.size.name, Rate: r.size.rate}
		for v, variant := range movesVariants {
			s.Tables = append(s.Tables, pageTable{Name: variant.name, Heads: movesColumns, Rows: r.rows(v)})
		}
		plots, err := movesPlots(r)
		if err != nil {
			return nil, err
		}
		for _, p := range plots {
			svg, err := toSVG(p, 18*vg.Centimeter, 10*vg.Centimeter)
			if err != nil {
				return nil, err
			}
			s.Plots = append(s.Plots, svg)
		}
		data.Sizes = append(data.Sizes, s)
	}
	var page bytes.Buffer
	if err := pageTemplate.Execute(&page, data); err != nil {
		return nil, eris.Wrap(err, "execute report template")
	}
	return page.Bytes(), nil
}

// movesPlots returns the plots of a size.
func movesPlots(r movesRun) ([]*plot.Plot, error) {
	outcome, err := outcomePlot(r)
	if err != nil {
		return nil, err
	}
	plots := []*plot.Plot{outcome}
	for _, p := range []struct {
		title, label string
		values       func(tally) []float64
	}{
		{"Time from badness to no traffic", "seconds", func(t tally) []float64 { return t.exposedSeconds }},
		{"Requests that a bad version got", "requests", func(t tally) []float64 { return t.exposedRequests }},
	} {
		part, err := distributionPlot(r, p.title, p.label, p.values)
		if err != nil {
			return nil, err
		}
		plots = append(plots, part)
	}
	return plots, nil
}

// outcomePlot plots the percentage of moves with the right outcome, by behaviour.
func outcomePlot(r movesRun) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Moves that ended right"
	p.X.Label.Text = "percent"
	p.X.Min, p.X.Max = 0, 100
	var names []string
	values := make([]plotter.Values, len(movesVariants))
	for i, results := range r.results {
		for _, t := range slices.Backward(tallies(results)) {
			if t.moves == 0 {
				continue
			}
			if i == 0 {
				names = append(names, t.name)
			}
			values[i] = append(values[i], 100*float64(t.correct())/float64(t.moves))
		}
	}
	for i, variant := range movesVariants {
		bars, err := plotter.NewBarChart(values[i], vg.Points(5))
		if err != nil {
			return nil, eris.Wrap(err, "plot outcomes")
		}
		bars.Horizontal = true
		bars.LineStyle.Width = 0
		bars.Color = variantColors[i]
		bars.Offset = vg.Points(float64(6 * (1 - i)))
		p.Add(bars)
		p.Legend.Add(variant.name, bars)
	}
	p.NominalY(names...)
	// The legend needs about three rows above the bars.
	p.Y.Max = float64(len(names)) + 2.5
	p.Legend.Top = true
	p.Legend.Left = true
	return p, nil
}

// distributionPlot plots the cumulative distribution of a value over the bad versions.
func distributionPlot(r movesRun, title, label string, values func(tally) []float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = label + " (logarithmic)"
	p.Y.Label.Text = "part of bad versions"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = 0, 1
	for i, results := range r.results {
		all := tallies(results)
		sorted := slices.Sorted(slices.Values(values(all[len(all)-1])))
		points := make(plotter.XYs, len(sorted))
		for j, v := range sorted {
			points[j] = plotter.XY{X: max(v, 1), Y: float64(j+1) / float64(len(sorted))}
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, eris.Wrap(err, "plot "+title)
		}
		line.Color = variantColors[i]
		line.Width = vg.Points(2)
		p.Add(line)
		p.Legend.Add(movesVariants[i].name, line)
	}
	p.Legend.Left = true
	p.Legend.Top = true
	if p.X.Min >= p.X.Max {
		p.X.Min, p.X.Max = 1, 10
	}
	return p, nil
}

// toSVG renders a plot as SVG without the XML header, so that it can be embedded in HTML.
func toSVG(p *plot.Plot, width, height vg.Length) (template.HTML, error) {
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", eris.Wrap(err, "write plot as SVG")
	}
	svg := b.String()
	if i := bytes.Index(b.Bytes(), []byte("<svg")); i >= 0 {
		svg = svg[i:]
	}
	return template.HTML(svg), nil
}
