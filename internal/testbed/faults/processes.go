package faults

import (
	"context"
	"errors"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/testbed/audit"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/journal"
)

// openJournal opens one of the testbed's own journals, DIR/journal/drill-NAME.jsonl.
func (t *Target) openJournal(name string) (*journal.Writer, error) {
	writer, err := journal.Open(filepath.Join(t.Dir, "journal", "drill-"+name+".jsonl"))
	return writer, errs.Pass(err, "testbed's journal")
}

// record journals a signal that is sent to a process at a time in Unix ns.
func record(writer *journal.Writer, at int64, event, node, signal string) error {
	err := writer.Append(map[string]any{"at": at, "ev": event, "node": node, "how": signal})
	return errs.Pass(err, "testbed's journal")
}

func (t *Target) now() int64 { return t.clock.Wall().UnixNano() }

// Kill sends SIGKILL to the named processes and records each kill in the testbed's journal journalName. It returns the
// names of the processes that were running.
func (t *Target) Kill(journalName string, names []string) (killed []string, err error) {
	writer, err := t.openJournal(journalName)
	if err != nil {
		return nil, errs.Pass(err, "kill")
	}
	defer writer.Close()
	for _, name := range names {
		at := t.now() // read before the kill; journaled only if the kill succeeds
		if err := fleet.Kill(t.Dir, name); errs.Is(err, errs.Unknown) {
			continue
		} else if err != nil {
			return killed, errs.Pass(err, "kill all")
		}
		killed = append(killed, name)
		if err := record(writer, at, audit.Kill, name, "SIGKILL"); err != nil {
			return killed, errs.Pass(err, "kill all")
		}
	}
	return killed, nil
}

// Freeze suspends a process with SIGSTOP for d, or until ctx ends, as if its machine hung, and always continues it.
// Failures: Unknown (it does not run), Disk.
func (t *Target) Freeze(ctx context.Context, name string, d time.Duration) error {
	pid, err := fleet.PID(t.Dir, name)
	if err != nil {
		return errs.Pass(err, "freeze %s", name)
	}
	writer, err := t.openJournal("freeze-" + name)
	if err != nil {
		return errs.Pass(err, "freeze %s", name)
	}
	defer writer.Close()
	if err := record(writer, t.now(), audit.Freeze, name, "SIGSTOP"); err != nil {
		return errs.Pass(err, "freeze %s", name)
	}
	if err := unix.Kill(pid, unix.SIGSTOP); err != nil {
		return errs.Wrap(err, errs.Unknown, "freeze %s, pid %d", name, pid)
	}
	t.Sleep(ctx, d)
	continued := fleet.Signal(t.Dir, name, unix.SIGCONT) // checks the pid: it may be reused if the process was killed
	return errors.Join(errs.Pass(continued, "thaw"), record(writer, t.now(), "thaw", name, "SIGCONT"))
}

// freezeAll freezes processes for d, all at the same time.
func (t *Target) freezeAll(ctx context.Context, names []string, d time.Duration) error {
	var mu sync.Mutex
	var failures []error
	routine.Each(len(names), len(names), func(i int) {
		err := t.Freeze(ctx, names[i], d)
		mu.Lock()
		defer mu.Unlock()
		failures = append(failures, err)
	})
	return errors.Join(failures...)
}
