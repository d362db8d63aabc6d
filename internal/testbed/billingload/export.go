package billingload

import (
	"bytes"
	"encoding/csv"
	"strconv"

	"crosstide/internal/account"
	"crosstide/internal/errs"
)

// Columns of an export. Its first row is the head, its second the base (what was compacted), its last the sum.
const (
	columnKind   = 2
	columnKey    = 3
	columnPart   = 4
	columnAmount = 5
	columnTopUps = 6
	columnSpent  = 7
)

// Sums are what the rows of an export add up to.
type Sums struct {
	ToppedUp, Spent int64
	TopUps          map[string]int64 // by key, of the entries that were not compacted
	Entries         int
}

// SumExport adds the entries of an export to its base row; the sum must be that of its last row. Failure: Damaged: it
// is not, or an entry stands twice.
func SumExport(export []byte) (Sums, error) {
	rows, err := csv.NewReader(bytes.NewReader(export)).ReadAll()
	if err != nil {
		return Sums{}, errs.Wrap(err, errs.Damaged, "the export is no CSV")
	}
	if len(rows) < 3 {
		return Sums{}, errs.New(errs.Damaged, "the export has %d rows", len(rows))
	}
	base, last := rows[1], rows[len(rows)-1]
	sums := Sums{ToppedUp: parseAmount(base[columnTopUps]), Spent: parseAmount(base[columnSpent]),
		TopUps: map[string]int64{}}
	seen := map[string]bool{}
	for _, row := range rows[2 : len(rows)-1] {
		name := row[columnKind] + " " + row[columnKey] + " " + row[columnPart]
		if seen[name] {
			return sums, errs.New(errs.Damaged, "the entry %s stands twice", name)
		}
		seen[name] = true
		amount := parseAmount(row[columnAmount])
		sums.Entries++
		if row[columnKind] == string(account.EntryTopUp) {
			sums.ToppedUp += amount
			sums.TopUps[row[columnKey]] = amount
		} else {
			sums.Spent += amount
		}
	}
	if sums.ToppedUp != parseAmount(last[columnTopUps]) || sums.Spent != parseAmount(last[columnSpent]) {
		return sums, errs.New(errs.Damaged, "the entries add up to %d and %d, the head says %s and %s", sums.ToppedUp,
			sums.Spent, last[columnTopUps], last[columnSpent])
	}
	return sums, nil
}

// parseAmount reads a whole number; what is none is -1, which no sum of an export is.
func parseAmount(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return -1
	}
	return n
}
