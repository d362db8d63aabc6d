// Package journal reads and writes the journals of the testbed: append-only files of JSON lines, one file per writer,
// which package audit checks. Journals are independent of the daemons: each line records an action of its writer or an
// answer that the writer received.
//
// A Writer appends to DIR/journal/NAME.jsonl; Lines reads all files of a folder. Entry is the line format of simulated
// workers; other writers define their own (packages load and operator, and the faults that the testbed injects).
package journal

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"iter"
	"os"
	"path/filepath"
	"sync"

	"crosstide/internal/errs"
)

// Events of an Entry.
const (
	NewIncarnation = "boot"   // the process started with a new incarnation
	Order          = "order"  // a start order was received
	Start          = "start"  // the ordered run started
	Refuse         = "refuse" // the start order was refused; Reason says why
	Stop           = "stop"   // a run was killed by an order, or because the worker shut down
	End            = "end"    // a run ended without being killed; OK: it succeeded
	Expire         = "lapse"  // a run was killed, or not started, because its lease had expired
	Drain          = "drain"  // draining was switched on (OK) or off
)

// Entry is one line of a worker's journal. Labels, Cores and GPUs are those of the worker if Event is NewIncarnation,
// and of the run otherwise.
type Entry struct {
	At          int64             `json:"at"` // Unix time in ns at which the entry was written
	Event       string            `json:"ev"`
	Worker      string            `json:"minion"`
	Incarnation string            `json:"boot"`
	Job         string            `json:"job"`
	Task        int               `json:"task"`
	RunID       uint64            `json:"ticket"`
	Epoch       uint64            `json:"epoch"` // of the call that contained the order
	Type        string            `json:"type"`
	Zone        string            `json:"zone"`
	Rack        string            `json:"rack,omitempty"` // of the worker; set with NewIncarnation
	OK          bool              `json:"ok"`
	Step        string            `json:"step,omitempty"`
	Queue       string            `json:"queue,omitempty"`
	Labels      map[string]string `json:"labels,omitempty"` // of the worker, or required by the step
	Cores       int               `json:"cores,omitempty"`  // of the worker, or required by the run
	GPUs        int               `json:"gpus,omitempty"`
	Clock       int64             `json:"clock,omitempty"` // reading of the worker's own clock in ns
	Reason      string            `json:"why,omitempty"`
}

// Writer appends lines to a file, of which it must be the only writer. It is safe for concurrent use.
type Writer struct {
	mu   sync.Mutex
	file *os.File
}

// Open opens path for appending and creates it and its folder if needed. It removes an incomplete last line, which a
// killed writer may leave. Errors are of kind Disk.
func Open(path string) (*Writer, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, errs.Wrap(err, errs.Disk, "create folder of journal %s", path)
	}
	length, err := completeLength(path)
	if err != nil {
		return nil, errs.Pass(err, "find incomplete line")
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "open journal %s", path)
	}
	if err := file.Truncate(length); err != nil {
		return nil, errs.Wrap(errors.Join(err, file.Close()), errs.Disk, "truncate journal %s", path)
	}
	return &Writer{file: file}, nil
}

// completeLength returns the length of path up to and including its last newline, or 0 if the file does not exist.
func completeLength(path string) (int64, error) {
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return 0, errs.Wrap(err, errs.Disk, "read journal %s", path)
	}
	return int64(bytes.LastIndexByte(data, '\n') + 1), nil
}

// Append writes v, usually an Entry, as one line with a single write(2), so the line survives if the process is killed
// afterwards. Errors are of kind Internal, if v cannot be encoded as JSON, or Disk. Example:
//
//	err := w.Append(journal.Entry{At: time.Now().UnixNano(), Event: journal.NewIncarnation, Worker: "m1"})
func (w *Writer) Append(v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode journal line")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err = w.file.Write(append(line, '\n'))
	return errs.Wrap(err, errs.Disk, "append to journal")
}

// Close closes the file. The Writer must not be used afterwards.
func (w *Writer) Close() error {
	return errs.Wrap(w.file.Close(), errs.Disk, "close journal")
}

// Line is one line of a journal.
type Line struct {
	File   string // base name
	Number int    // counted from 1
	Raw    []byte // the line without its newline, valid JSON; the caller may retain it
}

// Entry decodes the line of a worker's journal. Errors are of kind Damaged.
func (l Line) Entry() (Entry, error) {
	var e Entry
	err := json.Unmarshal(l.Raw, &e)
	return e, errs.Wrap(err, errs.Damaged, "decode journal %s line %d", l.File, l.Number)
}

// Lines iterates over all lines of dir/journal/*.jsonl, by file name and then in order of writing. A last line without
// a newline is incomplete and skipped. Any other line that is not valid JSON is yielded with an error of kind Damaged,
// a file that cannot be read with one of kind Disk. Example:
//
//	for line, err := range journal.Lines(dir) {
//		if err != nil {
//			return errs.Pass(err, "audit")
//		}
//		entry, err := line.Entry()
//		…
//	}
func Lines(dir string) iter.Seq2[Line, error] {
	return func(yield func(Line, error) bool) {
		paths, err := filepath.Glob(filepath.Join(dir, "journal", "*.jsonl"))
		if err != nil {
			yield(Line{}, errs.Wrap(err, errs.Settings, "folder %s", dir))
			return
		}
		for _, path := range paths {
			if !readLines(path, yield) {
				return
			}
		}
	}
}

// readLines yields the lines of a file. It returns false if yield did.
func readLines(path string, yield func(Line, error) bool) bool {
	line := Line{File: filepath.Base(path)}
	file, err := os.Open(path)
	if err != nil {
		return yield(line, errs.Wrap(err, errs.Disk, "open journal %s", path))
	}
	defer file.Close()
	for reader := bufio.NewReader(file); ; {
		raw, err := reader.ReadBytes('\n')
		if err == io.EOF {
			return true // raw may hold an incomplete last line, which is skipped
		}
		if err != nil {
			return yield(line, errs.Wrap(err, errs.Disk, "read journal %s", path))
		}
		line.Number++
		line.Raw = bytes.TrimSuffix(raw, []byte("\n"))
		if !json.Valid(line.Raw) {
			err = errs.New(errs.Damaged, "journal %s line %d is not valid JSON", line.File, line.Number)
		}
		if !yield(line, err) {
			return false
		}
	}
}
