package endtoend

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

// Processes holds the running processes of a plan. It is safe for concurrent use.
type Processes struct {
	plan  Plan
	group *routine.Group

	mu      sync.Mutex
	running map[string]*process
}

type process struct {
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has exited
}

// Start starts all processes of a plan. The caller must call Stop, unless Start fails: then it stops those that it
// started. Failures: those of Launch.
func Start(plan Plan) (*Processes, error) {
	p := &Processes{plan: plan, group: routine.New(context.Background()), running: map[string]*process{}}
	for _, line := range plan.CommandLines {
		if err := p.Launch(line.Name); err != nil {
			p.Stop()
			return nil, errs.Pass(err, "start")
		}
	}
	return p, nil
}

// Launch starts the named process, which must not be running. Failures: Unknown (not in the plan), Disk (its log cannot
// be opened), Settings (its program cannot be started).
func (p *Processes) Launch(name string) error {
	for _, line := range p.plan.CommandLines {
		if line.Name == name {
			return errs.Pass(p.start(line), "launch %s", name)
		}
	}
	return errs.New(errs.Unknown, "the plan has no process %s", name)
}

func (p *Processes) start(line CommandLine) error {
	path := filepath.Join(p.plan.Dir, "log", line.Name+".log")
	logFile, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return errs.Wrap(err, errs.Disk, "open log of %s", line.Name)
	}
	defer logFile.Close() // the process has its own descriptor
	proc := &process{cmd: exec.Command(line.Args[0], line.Args[1:]...), exited: make(chan struct{})}
	proc.cmd.Stdout, proc.cmd.Stderr = logFile, logFile
	if err := proc.cmd.Start(); err != nil {
		return errs.Wrap(err, errs.Settings, "start %s", line.Args[0])
	}
	p.mu.Lock()
	p.running[line.Name] = proc
	p.mu.Unlock()
	p.group.Go(func(context.Context) {
		_ = proc.cmd.Wait() // the process logs its own failures
		close(proc.exited)
	})
	return nil
}

// Signal sends a signal to a process. Failure: Unknown if it was not started or has exited.
func (p *Processes) Signal(name string, signal syscall.Signal) error {
	p.mu.Lock()
	proc := p.running[name]
	p.mu.Unlock()
	if proc == nil {
		return errs.New(errs.Unknown, "process %s was not started", name)
	}
	return errs.Wrap(proc.cmd.Process.Signal(signal), errs.Unknown, "signal %s", name)
}

// Wait waits until a process has exited. It returns false if ctx ends first, and true at once if the process was never
// started or Stop was called.
func (p *Processes) Wait(ctx context.Context, name string) bool {
	p.mu.Lock()
	proc := p.running[name]
	p.mu.Unlock()
	if proc == nil {
		return true
	}
	select {
	case <-proc.exited:
		return true
	case <-ctx.Done():
		return false
	}
}

// stopGrace is how long processes may take to exit after SIGTERM before they are killed.
const stopGrace = 15 * time.Second

// workerCommand is the subcommand of crosstide-testbed that runs a worker.
const workerCommand = "worker"

func (l CommandLine) isWorker() bool { return l.Args[1] == workerCommand }

// Stop stops the workers, then all other processes. It kills those that have not exited within stopGrace.
func (p *Processes) Stop() {
	p.mu.Lock()
	running := p.running
	p.running = map[string]*process{}
	p.mu.Unlock()
	var workers, others []*process
	for _, line := range p.plan.CommandLines {
		switch proc := running[line.Name]; {
		case proc == nil:
		case line.isWorker():
			workers = append(workers, proc)
		default:
			others = append(others, proc)
		}
	}
	stopAll(workers)
	stopAll(others)
	p.group.Stop()
}

// stopAll sends SIGTERM to all processes, then waits for each.
func stopAll(processes []*process) {
	for _, proc := range processes {
		_ = proc.cmd.Process.Signal(syscall.SIGTERM) // fails if the process has exited already
	}
	for _, proc := range processes {
		proc.waitOrKill()
	}
}

// waitOrKill waits until a process that was sent SIGTERM has exited, and kills it after stopGrace.
func (p *process) waitOrKill() {
	timer := clock.Real{}.Set(stopGrace, func() { _ = p.cmd.Process.Kill() }) // fails if the process has exited already
	<-p.exited
	timer.Stop()
}
