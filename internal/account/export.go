package account

import (
	"encoding/csv"
	"io"
	"strconv"
	"time"

	"crosstide/internal/errs"
)

// WriteCSV writes the ledger as CSV: a header, a row for the base, one for each entry and one for the head. Failures:
// Disk, Damaged.
func (l *Ledger) WriteCSV(to io.Writer) error {
	writer := csv.NewWriter(to)
	rows := [][]string{{"number", "at", "kind", "key", "part", "amount", "topped_up", "spent", "hash"}}
	sum := l.Base
	rows = append(rows, sum.csvRow("base"))
	for i := range l.Entries {
		e := &l.Entries[i]
		next, err := sum.add(e)
		if err != nil {
			return errs.Pass(err, "export")
		}
		sum = next
		rows = append(rows, []string{
			formatNumber(e.Number), e.At.UTC().Format(time.RFC3339Nano), string(e.Kind), e.Key,
			strconv.Itoa(e.DrawIndex), formatAmount(e.Amount), formatAmount(sum.ToppedUp), formatAmount(sum.Spent),
			sum.Hash,
		})
	}
	rows = append(rows, l.Head.csvRow("head"))
	return errs.Wrap(writer.WriteAll(rows), errs.Disk, "write the ledger")
}

func (c Checkpoint) csvRow(kind string) []string {
	return []string{
		formatNumber(c.Number), "", kind, "", "", "", formatAmount(c.ToppedUp), formatAmount(c.Spent), c.Hash,
	}
}

func formatNumber(n uint64) string { return strconv.FormatUint(n, 10) }

func formatAmount(n int64) string { return strconv.FormatInt(n, 10) }
