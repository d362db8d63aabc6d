package processes

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
)

// Node is one process of the system.
type Node struct {
	Name   string
	Host   string // IP address
	Zone   string
	IsCore bool // it is a control plane

	Disturbing sync.Mutex // held while the node is disturbed

	program string
	limits  Limits

	mu         sync.Mutex // guards the fields below
	cmd        *exec.Cmd
	exited     chan struct{}
	isFrozen   bool
	wasStarted bool
	isUpgraded bool // its process doesn't run a program of Options.EarlierBin
}

// IsUpgraded reports whether the node's process runs the newer release.
func (n *Node) IsUpgraded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isUpgraded
}

// PID returns the ID of the node's process.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Pid
}

// HasExited reports whether the node's process has ended.
func (n *Node) HasExited() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// IsFrozen reports whether the node's process is stopped by Freeze.
func (n *Node) IsFrozen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isFrozen
}

// kill ends the node's process at once, if it was started.
func (n *Node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Kill() // fails if the process has exited
	}
}

// launch writes the settings of a node and starts its process, which dies with the test process.
func (f *Fleet) launch(n *Node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	path, err := f.writeSettings(n)
	if err != nil {
		return errs.Pass(err, "settings")
	}
	n.wasStarted = true
	output, err := os.OpenFile(f.LogFile(n), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return errs.Wrap(err, errs.Disk, "open the log")
	}
	defer output.Close() // the process has its own descriptor
	bin := f.opt.Bin
	if f.opt.EarlierBin != "" && n.IsCore && n.cmd == nil {
		bin = f.opt.EarlierBin
	}
	n.isUpgraded = bin == f.opt.Bin
	cmd := exec.Command(filepath.Join(bin, n.program), "platform")
	cmd.Stdout, cmd.Stderr = output, output
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.opt.Folder, "LANG=C", f.opt.Variable + "=" + path}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := closeSocketsOnExec(); err != nil {
		return errs.Pass(err, "prepare")
	}
	if err := cmd.Start(); err != nil {
		return errs.Wrap(err, errs.Settings, "start")
	}
	exited := make(chan struct{})
	n.cmd, n.exited, n.isFrozen = cmd, exited, false
	f.group.Go(func(context.Context) {
		_ = cmd.Wait() // the process logs its own failures
		close(exited)
	})
	f.opt.Log("%s started", n.Name)
	return nil
}

// closeSocketsOnExec makes the descriptors of this process, but for the standard ones, close in processes that it
// starts. The connections of rpc.Server would stay open there after they were closed here.
func closeSocketsOnExec() error {
	const firstDescriptor = 3
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return errs.Wrap(err, errs.Disk, "list the descriptors")
	}
	for _, entry := range entries {
		if fd, err := strconv.Atoi(entry.Name()); err == nil && fd >= firstDescriptor {
			unix.CloseOnExec(fd)
		}
	}
	return nil
}

// signal sends a signal to the process of a node.
func (f *Fleet) signal(n *Node, s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch s {
	case syscall.SIGSTOP:
		n.isFrozen = true
	case syscall.SIGCONT:
		n.isFrozen = false
	}
	f.opt.Log("%s to %s", s, n.Name)
	_ = n.cmd.Process.Signal(s) // fails if the process has exited
}

// Freeze stops a node's process for a time.
func (f *Fleet) Freeze(ctx context.Context, n *Node, d time.Duration) {
	defer f.opt.BeginDisruption(n, "freeze")()
	f.signal(n, syscall.SIGSTOP)
	clock.Sleep(ctx.Done(), clock.Real{}, d)
	f.signal(n, syscall.SIGCONT)
}

// Restart ends a node's process with a signal and starts it again after a pause. A process that ignores SIGTERM for the
// grace period is killed.
func (f *Fleet) Restart(ctx context.Context, n *Node, s syscall.Signal, pause time.Duration) error {
	defer f.opt.BeginDisruption(n, "restart")()
	f.signal(n, s)
	kill := clock.Real{}.Set(f.opt.Grace, func() { f.signal(n, syscall.SIGKILL) })
	<-n.exited
	kill.Stop()
	clock.Sleep(ctx.Done(), clock.Real{}, pause)
	return errs.Pass(f.launch(n), "restart %s", n.Name)
}

// FrozenOf returns a frozen one of some nodes, or nil.
func FrozenOf(nodes []*Node) *Node {
	for _, n := range nodes {
		if n.IsFrozen() {
			return n
		}
	}
	return nil
}
