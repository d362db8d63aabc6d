package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
)

const timeLayout = "2006-01-02T15:04:05.000Z"

// table prints an answer in columns. out is a tabwriter, which aligns them.
type table struct{ out io.Writer }

// row prints a line with one cell for each column.
func (t table) row(cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(t.out, "\t")
		}
		fmt.Fprint(t.out, cell)
	}
	fmt.Fprintln(t.out)
}

// line prints values separated by spaces, without columns.
func (t table) line(values ...any) { fmt.Fprintln(t.out, values...) }

// printAnswer prints raw, the JSON of an answer: unchanged with --json, else decoded and with render.
func printAnswer[T any](cmd *cli.Command, raw []byte, render func(t table, answer T)) error {
	if cmd.Bool("json") {
		_, err := os.Stdout.Write(append([]byte(strings.TrimSpace(string(raw))), '\n'))
		return errs.Wrap(err, errs.Internal, "print")
	}
	var answer T
	if err := json.Unmarshal(raw, &answer); err != nil {
		return errs.Wrap(err, errs.Malformed, "invalid response")
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	render(table{out}, answer)
	return errs.Wrap(out.Flush(), errs.Internal, "print")
}

func printJSON(v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode")
	}
	_, err = fmt.Println(string(raw))
	return errs.Wrap(err, errs.Internal, "print")
}

// formatTime formats a time in UTC. It returns a dash for the zero time.
func formatTime(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.UTC().Format(timeLayout)
}

// orDash returns the text, or a dash if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// joined returns items as the text of one cell.
func joined(items []string) string { return strings.Join(items, " ") }

// usedOf formats the usage of a resource as used/capacity.
func usedOf[N int | int64](used, capacity N) string { return fmt.Sprintf("%d/%d", used, capacity) }
