package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
)

// PIDs reads DIR/pids: process IDs by name. Failures: Disk, Malformed.
func PIDs(dir string) (map[string]int, error) {
	data, err := os.ReadFile(filepath.Join(dir, "pids"))
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "pids of the fleet")
	}
	pids := map[string]int{}
	for line := range strings.Lines(string(data)) {
		var name string
		var pid int
		if _, err := fmt.Sscan(line, &name, &pid); err != nil || pid < 2 {
			return nil, errs.New(errs.Malformed, "pids: invalid line %q", strings.TrimSpace(line))
		}
		pids[name] = pid
	}
	return pids, nil
}

// Kill sends SIGKILL to the named process of the fleet. Failures: those of PID.
func Kill(dir, name string) error { return errs.Pass(Signal(dir, name, unix.SIGKILL), "kill") }

// Signal sends a signal to the named process of the fleet, after PID has checked that it still runs. Failures: those of
// PID.
func Signal(dir, name string, sig unix.Signal) error {
	pid, err := PID(dir, name)
	if err != nil {
		return errs.Pass(err, "signal %s", name)
	}
	return errs.Wrap(unix.Kill(pid, sig), errs.Unknown, "signal %s, pid %d", name, pid)
}

// PID returns the pid of the named process. It checks that the process with the pid in DIR/pids has the command line in
// DIR/start, because the system may have reused the pid. Failures: Disk, Malformed, Unknown (the process does not run).
func PID(dir, name string) (int, error) {
	pids, err := PIDs(dir)
	if err != nil {
		return 0, errs.Pass(err, "pid of %s", name)
	}
	pid, ok := pids[name]
	if !ok {
		return 0, errs.New(errs.Unknown, "%s has no pid", name)
	}
	starts, err := os.ReadFile(filepath.Join(dir, "start"))
	if err != nil {
		return 0, errs.Wrap(err, errs.Disk, "command lines of the fleet")
	}
	argv, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/cmdline")
	if err != nil {
		return 0, errs.Wrap(err, errs.Unknown, "%s, pid %d", name, pid)
	}
	line := name + " " + strings.Join(strings.Split(strings.TrimRight(string(argv), "\x00"), "\x00"), " ")
	if !strings.Contains("\n"+string(starts), "\n"+line+"\n") {
		return 0, errs.New(errs.Unknown, "pid %d no longer belongs to %s", pid, name)
	}
	return pid, nil
}
