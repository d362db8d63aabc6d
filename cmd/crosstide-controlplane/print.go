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

// table prints an answer in columns.
type table struct{ out io.Writer }

// row prints a line; each of its cells stands in a column.
func (t table) row(cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(t.out, "\t")
		}
		fmt.Fprint(t.out, cell)
	}
	fmt.Fprintln(t.out)
}

// line prints words side by side, outside of the columns.
func (t table) line(words ...any) { fmt.Fprintln(t.out, words...) }

// printAnswer prints an answer: with --json as it came, else as render shows it.
func printAnswer[T any](cmd *cli.Command, raw []byte, render func(t table, answer T)) error {
	if cmd.Bool("json") {
		_, err := os.Stdout.Write(append([]byte(strings.TrimSpace(string(raw))), '\n'))
		return errs.Wrap(err, errs.Internal, "print")
	}
	var answer T
	if err := json.Unmarshal(raw, &answer); err != nil {
		return errs.Wrap(err, errs.Malformed, "the answer")
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

func formatTime(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.UTC().Format(timeLayout)
}

// orDash shows an empty cell as a dash.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// joined shows words in one cell.
func joined(words []string) string { return strings.Join(words, " ") }

// usedOf shows how much of a resource is used.
func usedOf[N int | int64](used, capacity N) string { return fmt.Sprintf("%d/%d", used, capacity) }
