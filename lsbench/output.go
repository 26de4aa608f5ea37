package main

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// output collects the text of an experiment's report.
type output struct {
	text strings.Builder
}

// line adds a formatted line.
func (o *output) line(format string, arguments ...any) {
	o.text.WriteString(fmt.Sprintf(format, arguments...) + "\n")
}

// table adds rows in aligned columns; the first row is the header.
func (o *output) table(rows [][]string) {
	writer := tabwriter.NewWriter(&o.text, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, r := range rows {
		_, _ = fmt.Fprintln(writer, strings.Join(r, "\t")+"\t")
	}
	_ = writer.Flush()
}

// row formats the cells of a row. Floating-point numbers are rounded to integers.
func row(cells ...any) []string {
	formatted := make([]string, len(cells))
	for i, c := range cells {
		if number, ok := c.(float64); ok {
			formatted[i] = fmt.Sprintf("%.0f", number)
		} else {
			formatted[i] = fmt.Sprint(c)
		}
	}
	return formatted
}
