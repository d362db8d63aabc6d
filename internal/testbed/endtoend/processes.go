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

// Processes are the processes of a plan that run. Its methods may be called from many goroutines.
type Processes struct {
	plan  Plan
	group *routine.Group

	mu      sync.Mutex
	running map[string]*process
}

type process struct {
	cmd    *exec.Cmd
	exited chan struct{} // closed when it has
}

// Start starts all processes of a plan; Stop ends them.
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

// Launch starts the process of a name, which must not run. Failures: Unknown, Disk, Settings.
func (p *Processes) Launch(name string) error {
	for _, line := range p.plan.CommandLines {
		if line.Name == name {
			return errs.Pass(p.start(line), "launch %s", name)
		}
	}
	return errs.New(errs.Unknown, "no process %s", name)
}

func (p *Processes) start(line CommandLine) error {
	path := filepath.Join(p.plan.Dir, "log", line.Name+".log")
	out, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return errs.Wrap(err, errs.Disk, "log of %s", line.Name)
	}
	defer out.Close() // the process has its own descriptor
	proc := &process{cmd: exec.Command(line.Args[0], line.Args[1:]...), exited: make(chan struct{})}
	proc.cmd.Stdout, proc.cmd.Stderr = out, out
	if err := proc.cmd.Start(); err != nil {
		return errs.Wrap(err, errs.Settings, "start %s", line.Args[0])
	}
	p.mu.Lock()
	p.running[line.Name] = proc
	p.mu.Unlock()
	p.group.Go(func(context.Context) {
		_ = proc.cmd.Wait() // its log says how it ended
		close(proc.exited)
	})
	return nil
}

// Signal sends a signal to a process. Failure: Unknown: it does not run.
func (p *Processes) Signal(name string, signal syscall.Signal) error {
	p.mu.Lock()
	proc := p.running[name]
	p.mu.Unlock()
	if proc == nil {
		return errs.New(errs.Unknown, "%s does not run", name)
	}
	return errs.Wrap(proc.cmd.Process.Signal(signal), errs.Unknown, "signal %s", name)
}

// Wait waits until a process has ended. It returns false if ctx ends first.
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

// stopGrace is how long processes have to end in order.
const stopGrace = 15 * time.Second

// workerCommand is the subcommand of crosstide-testbed that workers run.
const workerCommand = "worker"

func (l CommandLine) isWorker() bool { return l.Args[1] == workerCommand }

// Stop ends the workers, then all others, in order where they do, by force else.
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

// stopAll signals all processes to end, then waits for each.
func stopAll(processes []*process) {
	for _, proc := range processes {
		_ = proc.cmd.Process.Signal(syscall.SIGTERM) // one that has ended already is fine
	}
	for _, proc := range processes {
		proc.waitOrKill()
	}
}

// waitOrKill waits for a process that was signalled to end, and kills it after the grace.
func (p *process) waitOrKill() {
	timer := clock.Real{}.Set(stopGrace, func() { _ = p.cmd.Process.Kill() }) // one that has ended already is fine
	<-p.exited
	timer.Stop()
}
