package scale

import (
	"encoding/csv"
	"errors"
	"io"
	"io/fs"
	"os"
	"slices"
	"strconv"

	"crosstide/internal/errs"
)

// columns are the column names, in the order of Row.cells.
var columns = []string{"minions", "offered_per_s", "starts_per_s", "running", "start_p50_ms", "start_p99_ms", "left",
	"machine_cores", "loop_kb_s", "loop_packets_s", "role", "procs", "cpu_pct", "mb", "msgs_s", "body_kb_s", "net_kb_s",
	"syncs_s", "log_kb_s", "note"}

// cells returns pointers to the row's fields, in the order of columns.
func (r *Row) cells() []any {
	return []any{&r.Workers, &r.Offered, &r.Starts, &r.Running, &r.P50, &r.P99, &r.Unfinished,
		&r.Cores, &r.LoopKB, &r.LoopPackets, &r.Role, &r.Procs, &r.CPU, &r.MB, &r.Msgs, &r.BodyKB, &r.SocketKB,
		&r.Syncs, &r.LogKB, &r.Note}
}

// record returns the row as a CSV record.
func (r Row) record() []string {
	var record []string
	for _, cell := range r.cells() {
		switch field := cell.(type) {
		case *int:
			record = append(record, strconv.Itoa(*field))
		case *float64:
			record = append(record, strconv.FormatFloat(*field, 'f', 3, 64))
		case *string:
			record = append(record, *field)
		}
	}
	return record
}

// parse sets the row from a CSV record. number is the record's number, for errors.
func (r *Row) parse(record []string, number int) error {
	for i, cell := range r.cells() {
		if text, isText := cell.(*string); isText {
			*text = record[i]
			continue
		}
		value, err := strconv.ParseFloat(record[i], 64)
		if err != nil {
			return errs.Wrap(err, errs.Malformed, "row %d, column %s", number, columns[i])
		}
		switch field := cell.(type) {
		case *int:
			*field = int(value)
		case *float64:
			*field = value
		}
	}
	return nil
}

// AppendRows appends rows to a CSV file, which it creates with a header if it does not exist. Errors are of kind Disk.
func AppendRows(path string, rows []Row) error {
	_, err := os.Stat(path)
	isNew := errors.Is(err, fs.ErrNotExist)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return errs.Wrap(err, errs.Disk, "open %s", path)
	}
	w := csv.NewWriter(file)
	if isNew {
		_ = w.Write(columns) // w.Error returns the error
	}
	for _, r := range rows {
		_ = w.Write(r.record()) // w.Error returns the error
	}
	w.Flush()
	return errs.Wrap(errors.Join(w.Error(), file.Close()), errs.Disk, "write %s", path)
}

// ReadRows reads a file written by AppendRows. Errors are of kind Disk or Malformed.
func ReadRows(path string) ([]Row, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "open %s", path)
	}
	defer file.Close()
	var rows []Row
	for reader, number := csv.NewReader(file), 0; ; number++ {
		record, err := reader.Read()
		if err == io.EOF {
			return rows, nil
		}
		if err != nil {
			return nil, errs.Wrap(err, errs.Malformed, "%s", path)
		}
		if number == 0 {
			if !slices.Equal(record, columns) {
				return nil, errs.New(errs.Malformed, "%s: columns differ from those of this version", path)
			}
			continue
		}
		var row Row
		if err := row.parse(record, number); err != nil {
			return nil, errs.Pass(err, "%s", path)
		}
		rows = append(rows, row)
	}
}
