// Package journal reads and writes the journals of the testbed: append-only files of JSON lines, one for each writer,
// which package audit checks. A journal trusts no daemon: each line records what its writer did or was answered.
//
// A Writer appends to DIR/journal/NAME.jsonl; Lines reads all of them back. Entry is the line of a stand-in worker; the
// other writers have entries of their own (packages load and operator, and the faults that the testbed injects).
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
	NewIncarnation = "boot"   // the process began under a new incarnation
	Order          = "order"  // a start order came
	Start          = "start"  // its run began
	Refuse         = "refuse" // it was refused for Reason
	Stop           = "stop"   // a run was killed on an order, or as the worker left
	End            = "end"    // a run ended by itself; OK: it succeeded
	Expire         = "lapse"  // a run was killed (or not begun) as its lease had expired
	Drain          = "drain"  // draining was switched; OK: on
)

// Entry is one line of a worker's journal. Labels, Cores and GPUs are the worker's with NewIncarnation, else the run's.
type Entry struct {
	At          int64             `json:"at"` // Unix time in ns, of writing
	Event       string            `json:"ev"`
	Worker      string            `json:"minion"`
	Incarnation string            `json:"boot"`
	Job         string            `json:"job"`
	Task        int               `json:"task"`
	RunID       uint64            `json:"ticket"`
	Epoch       uint64            `json:"epoch"` // of the call that brought the order
	Type        string            `json:"type"`
	Zone        string            `json:"zone"`
	Rack        string            `json:"rack,omitempty"` // of the worker, with NewIncarnation
	OK          bool              `json:"ok"`
	Step        string            `json:"step,omitempty"`
	Queue       string            `json:"queue,omitempty"`
	Labels      map[string]string `json:"labels,omitempty"` // of the worker, or that the step asks for
	Cores       int               `json:"cores,omitempty"`  // of the worker, or of the run
	GPUs        int               `json:"gpus,omitempty"`
	Clock       int64             `json:"clock,omitempty"` // the worker's own clock in ns
	Reason      string            `json:"why,omitempty"`
}

// Writer appends to one file. It is the file's only writer; its methods may be called from many goroutines.
type Writer struct {
	mu   sync.Mutex
	file *os.File
}

// Open opens path for appending, with its folder if need be. A torn last line, left by a killed writer, is cut.
// Failure: Disk.
func Open(path string) (*Writer, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, errs.Wrap(err, errs.Disk, "folder of journal %s", path)
	}
	length, err := completeLength(path)
	if err != nil {
		return nil, errs.Pass(err, "whole lines")
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "open journal %s", path)
	}
	if err := file.Truncate(length); err != nil {
		return nil, errs.Wrap(errors.Join(err, file.Close()), errs.Disk, "cut torn end of journal %s", path)
	}
	return &Writer{file: file}, nil
}

// completeLength returns the size of path up to its last line end, 0 if there is no such file.
func completeLength(path string) (int64, error) {
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return 0, errs.Wrap(err, errs.Disk, "read journal %s", path)
	}
	return int64(bytes.LastIndexByte(data, '\n') + 1), nil
}

// Append writes v, commonly an Entry, as one line by one write(2): a process killed afterwards loses nothing.
// Failures: Internal (v is no JSON), Disk. Example:
//
//	err := w.Append(journal.Entry{At: time.Now().UnixNano(), Event: journal.NewIncarnation, Worker: "m1"})
func (w *Writer) Append(v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "journal line")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err = w.file.Write(append(line, '\n'))
	return errs.Wrap(err, errs.Disk, "append to journal")
}

// Close closes the file.
func (w *Writer) Close() error {
	return errs.Wrap(w.file.Close(), errs.Disk, "close journal")
}

// Line is one line as found: the file's base name, the line's number from 1, and its bytes.
type Line struct {
	File   string
	Number int
	Raw    []byte // valid JSON; the caller may keep it
}

// Entry decodes the line as a worker's. Failure: Damaged.
func (l Line) Entry() (Entry, error) {
	var e Entry
	err := json.Unmarshal(l.Raw, &e)
	return e, errs.Wrap(err, errs.Damaged, "journal %s line %d", l.File, l.Number)
}

// Lines iterates over all lines of dir/journal/*.jsonl, by file name and then in order of writing. A last line
// without its line end is torn and left out. Any other line that is no JSON is yielded with the failure
// Damaged, a file that cannot be read with Disk. Example:
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

func readLines(path string, yield func(Line, error) bool) bool {
	line := Line{File: filepath.Base(path)}
	file, err := os.Open(path)
	if err != nil {
		return yield(line, errs.Wrap(err, errs.Disk, "open journal %s", path))
	}
	defer file.Close()
	for in := bufio.NewReader(file); ; {
		raw, err := in.ReadBytes('\n')
		if err == io.EOF {
			return true // what raw still holds is torn
		}
		if err != nil {
			return yield(line, errs.Wrap(err, errs.Disk, "read journal %s", path))
		}
		line.Number++
		line.Raw = bytes.TrimSuffix(raw, []byte("\n"))
		if !json.Valid(line.Raw) {
			err = errs.New(errs.Damaged, "journal %s line %d is no JSON", line.File, line.Number)
		}
		if !yield(line, err) {
			return false
		}
	}
}
