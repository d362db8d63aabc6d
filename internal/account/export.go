package account

import (
	"encoding/csv"
	"io"
	"strconv"
	"time"

	"crosstide/internal/errs"
)

// WriteCSV writes the ledger: a row for the base, one for each entry, one for the head. Failure: Disk.
func (l *Ledger) WriteCSV(to io.Writer) error {
	out := csv.NewWriter(to)
	rows := [][]string{{"number", "at", "kind", "key", "part", "amount", "topped_up", "spent", "hash"}}
	sum := l.Base
	rows = append(rows, sum.row("base"))
	for i := range l.Entries {
		e := &l.Entries[i]
		next, err := sum.add(e)
		if err != nil {
			return errs.Pass(err, "export")
		}
		sum = next
		rows = append(rows, []string{number(e.Number), e.At.UTC().Format(time.RFC3339Nano), string(e.Kind), e.Key,
			strconv.Itoa(e.DrawIndex), units(e.Amount), units(sum.ToppedUp), units(sum.Spent), sum.Hash})
	}
	rows = append(rows, l.Head.row("head"))
	return errs.Wrap(out.WriteAll(rows), errs.Disk, "write the ledger")
}

func (c Checkpoint) row(kind string) []string {
	return []string{number(c.Number), "", kind, "", "", "", units(c.ToppedUp), units(c.Spent), c.Hash}
}

func number(n uint64) string { return strconv.FormatUint(n, 10) }

func units(n int64) string { return strconv.FormatInt(n, 10) }
