package main

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

// tableCommand prints the table in force at a daemon.
type tableCommand struct {
	app    *app
	output string
}

// Name returns the command's name.
func (*tableCommand) Name() string { return "table" }

// Synopsis returns a one-line description of the command.
func (*tableCommand) Synopsis() string { return "print the table in force" }

// Usage returns the command's usage text.
func (*tableCommand) Usage() string {
	return "table [-o yaml]\n\tPrints the table as columns, or as a YAML file with revisions to edit and publish.\n"
}

// SetFlags adds the command's flags.
func (c *tableCommand) SetFlags(f *flag.FlagSet) {
	c.app.setFlags(f)
	f.StringVar(&c.output, "o", "columns", "output `form`: columns or yaml")
}

// Execute prints the table.
func (c *tableCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 || (c.output != "columns" && c.output != "yaml") {
		return c.app.usageError("table takes no arguments; -o is columns or yaml")
	}
	cl, err := c.app.client()
	if err != nil {
		return c.app.fail(err)
	}
	view, _, err := getFromAny[wire.TableView](cl, "/operator/table")
	if err != nil {
		return c.app.fail(err)
	}
	current := view.State.Table()
	if c.output == "yaml" {
		text, err := formatFile(view.State)
		if err != nil {
			return c.app.fail(err)
		}
		_, err = c.app.out.Write(text)
		if err != nil {
			return c.app.fail(err)
		}
		return subcommands.ExitSuccess
	}
	c.app.printf("table of %s at offset %d\n", view.Process, view.State.Next)
	c.app.printTable(current)
	return subcommands.ExitSuccess
}

// printTable prints the accounts, versions, routes and data centres as aligned columns.
func (a *app) printTable(t table.Table) {
	columns := a.columnWriter("ACCOUNT", "SHARE", "IN FLIGHT", "TOKENS/S", "SPEND/H", "KEYS", "REVISION")
	for _, row := range t.Accounts {
		columns.row(row.Name, formatNumber(row.Share), formatLimit(float64(row.MaxInFlight)), formatLimit(row.TokensPerSecond),
			formatLimit(row.SpendPerHour), strconv.Itoa(len(row.KeyHashes)), formatRevision(row))
	}
	columns.flush()
	columns = a.columnWriter("VERSION", "KIND", "WEIGHTS", "CLASS", "REPLICAS", "MAX PRICE", "FENCED", "REVISION")
	for _, v := range t.Versions {
		replicas := strconv.Itoa(v.MinReplicas) + "-" + formatLimit(float64(v.MaxReplicas))
		columns.row(v.Name, string(v.Kind), v.Weights, v.Class, replicas, formatLimit(v.MaxPrice), yesNo(v.Fenced), formatRevision(v))
	}
	columns.flush()
	columns = a.columnWriter("ROUTE", "KIND", "VERSIONS", "ACCOUNTS", "PRIORITY", "REPEATABLE", "FIRST MS", "BETWEEN MS",
		"MOVE TO", "MOVE DEADLINE", "FIRST SHARE", "REVISION")
	for _, r := range t.Routes {
		var parts []string
		for _, w := range r.Versions {
			parts = append(parts, w.Version+"="+formatNumber(w.Weight))
		}
		columns.row(r.Name, string(r.Kind), strings.Join(parts, ","), strings.Join(r.Accounts, ","),
			strconv.Itoa(r.Priority), yesNo(r.Repeatable), formatLimit(float64(r.FirstTokenMs)), formatLimit(float64(r.BetweenTokensMs)),
			r.MoveTo, formatTime(r.MoveDeadline), formatLimit(r.FirstShare), formatRevision(r))
	}
	columns.flush()
	columns = a.columnWriter("DATA CENTRE", "EVACUATED", "REVISION")
	for _, d := range t.DataCentres {
		columns.row(d.Name, yesNo(d.Evacuated), formatRevision(d))
	}
	columns.flush()
}

// columnWriter prints rows with aligned columns.
type columnWriter struct {
	app    *app
	writer *tabwriter.Writer
}

// columnWriter returns a writer that has the headings as its first row.
func (a *app) columnWriter(headings ...string) columnWriter {
	c := columnWriter{app: a, writer: tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)}
	c.row(headings...)
	return c
}

// row adds a row; an empty cell is printed as a dash. Rows are buffered until
// flush, which reports a failed write.
func (c columnWriter) row(cells ...string) {
	for i, cell := range cells {
		if cell == "" {
			cells[i] = "-"
		}
	}
	_, _ = fmt.Fprintln(c.writer, strings.Join(cells, "\t"))
}

// flush prints the buffered rows.
func (c columnWriter) flush() {
	if err := c.writer.Flush(); err != nil && c.app.writeErr == nil {
		c.app.writeErr = err
	}
}

func formatNumber(number float64) string { return strconv.FormatFloat(number, 'g', -1, 64) }

// formatLimit formats a limit. It returns an empty string for 0, which means no limit.
func formatLimit(number float64) string {
	if number == 0 {
		return ""
	}
	return formatNumber(number)
}

func formatRevision(r table.Row) string { return strconv.FormatInt(r.Base(), 10) }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// formatTime formats a time in UTC. It returns an empty string for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format("2006-01-02T15:04:05.000Z")
}
