package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
)

// record is the file of what was sent, answered and run. It is safe for concurrent use.
type record struct {
	begin time.Duration

	mu   sync.Mutex
	file *os.File
}

// newRecord creates the file at path.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "create the record")
	}
	return &record{begin: clock.Real{}.Now(), file: file}, nil
}

// now returns the time since the start of the record.
func (r *record) now() time.Duration { return clock.Real{}.Now() - r.begin }

// add appends a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}
