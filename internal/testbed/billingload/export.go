package billingload

import (
	"bytes"
	"encoding/csv"
	"strconv"

	"crosstide/internal/account"
	"crosstide/internal/errs"
)

// Columns of an export. The first row is the header, the second the base (totals of compacted entries), the last one
// the ledger's head (the totals of the account).
const (
	columnKind   = 2
	columnKey    = 3
	columnPart   = 4
	columnAmount = 5
	columnTopUps = 6
	columnSpent  = 7
)

// Sums holds the totals of an export's rows.
type Sums struct {
	ToppedUp, Spent int64
	TopUps          map[string]int64 // by key; compacted entries are not included
	Entries         int
}

// SumExport adds the entries of an export to its base row and compares the result with the totals in the last row. It
// returns a Damaged error if they differ, if an entry occurs twice or if the export is not valid CSV.
func SumExport(export []byte) (Sums, error) {
	rows, err := csv.NewReader(bytes.NewReader(export)).ReadAll()
	if err != nil {
		return Sums{}, errs.Wrap(err, errs.Damaged, "the export is not valid CSV")
	}
	if len(rows) < 3 {
		return Sums{}, errs.New(errs.Damaged, "the export has %d rows, expected at least 3", len(rows))
	}
	base, totals := rows[1], rows[len(rows)-1]
	sums := Sums{ToppedUp: parseAmount(base[columnTopUps]), Spent: parseAmount(base[columnSpent]),
		TopUps: map[string]int64{}}
	seen := map[string]bool{}
	for _, row := range rows[2 : len(rows)-1] {
		name := row[columnKind] + " " + row[columnKey] + " " + row[columnPart]
		if seen[name] {
			return sums, errs.New(errs.Damaged, "duplicate entry %s", name)
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
	if sums.ToppedUp != parseAmount(totals[columnTopUps]) || sums.Spent != parseAmount(totals[columnSpent]) {
		return sums, errs.New(errs.Damaged, "entries add up to %d topped up and %d spent, the last row has %s and %s",
			sums.ToppedUp, sums.Spent, totals[columnTopUps], totals[columnSpent])
	}
	return sums, nil
}

// parseAmount returns the integer in text, or -1 if text is not an integer. Sums in an export are never negative.
func parseAmount(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return -1
	}
	return n
}
