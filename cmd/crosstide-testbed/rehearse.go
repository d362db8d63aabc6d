package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/testbed/audit"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/load"
)

func init() {
	commands = append(commands, &cli.Command{
		Name: "rehearse", Usage: "blow after blow on a running fleet under load, each followed by an audit",
		Description: "crosstide-testbed rehearse --fleet DIR [--only a,b,c]\n\n" + scenariosText() + "\n" +
			"A line per case: held, or broken with what is broken below it. accept A/B and start A/B: seconds from the\n" +
			"blow to the first yes to a job handed in after it (the first start), and the longest time without a yes\n" +
			"(without a start) until the offers end. ready: seconds from the load's end until every node is ready.\n" +
			"Exit 1 if a case is broken or could not be run.",
		Flags: []cli.Flag{
			fleetFlag(),
			&cli.StringSliceFlag{Name: "only", Usage: "letters of the cases, `a,b,c`, in this order (default: all)"},
			&cli.FloatFlag{Name: "rate", Value: 20, Usage: "jobs per second"},
			&cli.IntFlag{Name: "ms", Value: 400, Usage: "length of a task"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "script", Usage: "scripts/`fleet`, which starts processes again (default: beside this program's folder)"},
		},
		Action: rehearse,
	})
}

// faultDelay is how long the load runs before the blow.
const faultDelay = 4 * time.Second

// scenario is one case.
type scenario struct {
	key, name string
	offer     time.Duration // how long jobs are offered
	inject    func(ctx context.Context, s *faultRun) error
}

func scenariosText() string {
	var out strings.Builder
	for _, sc := range scenarios {
		fmt.Fprintf(&out, "  %s  %s\n", sc.key, sc.name)
	}
	return out.String()
}

// faultRun is what a scene works on, and its findings.
type faultRun struct {
	dir, script string
	nodes       fleet.Nodes
	caller      *fleet.Caller
	who         fleet.Leaders // before the blow
	faultAt     time.Time     // of the blow
	notes       []string
	violations  []string
}

// newFaultRun is the stage that a command's flags name: the fleet, and the script that starts its processes again.
func newFaultRun(cmd *cli.Command) (faultRun, error) {
	dir, err := filepath.Abs(cmd.String("fleet"))
	if err != nil {
		return faultRun{}, errs.Wrap(err, errs.Settings, "fleet")
	}
	nodes, err := fleet.Read(dir)
	if err != nil {
		return faultRun{}, errs.Pass(err, "fleet")
	}
	script := cmd.String("script")
	if script == "" {
		script = filepath.Join(filepath.Dir(program("crosstide-testbed")), "..", "scripts", "fleet")
	}
	return faultRun{dir: dir, script: script, nodes: nodes, caller: fleet.NewCaller(16)}, nil
}

func (s *faultRun) notef(format string, args ...any) {
	s.notes = append(s.notes, fmt.Sprintf(format, args...))
}
func (s *faultRun) failf(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// markFault marks the moment of the blow.
func (s *faultRun) markFault() { s.faultAt = clock.Real{}.Wall() }

func (s *faultRun) kill(names ...string) error {
	s.markFault()
	killed, err := killAll(s.dir, "rehearse", names)
	s.notef("%s killed", strings.Join(killed, " "))
	if err == nil && len(killed) < len(names) {
		err = errs.New(errs.Unknown, "only %d of %d were there to be killed", len(killed), len(names))
	}
	return errs.Pass(err, "kill")
}

// restart has the fleet's script start nodes again; flags are those of `fleet restart`.
func (s *faultRun) restart(ctx context.Context, names []string, flags ...string) error {
	for _, name := range names {
		cmd := exec.CommandContext(ctx, s.script, append([]string{"restart", s.dir, name}, flags...)...)
		if out, err := cmd.CombinedOutput(); err != nil {
			return errs.Wrap(err, errs.Internal, "restart %s: %s", name, out)
		}
	}
	return nil
}

// await waits until ok, in seconds; a fault after the bound.
func (s *faultRun) await(ctx context.Context, bound time.Duration, what string, ok func() bool) (float64, error) {
	clock := clock.Real{}
	began := clock.Now()
	for !ok() {
		if clock.Now()-began > bound || !pause(ctx, 100*time.Millisecond) {
			return 0, errs.New(errs.Timeout, "%s not so within %s", what, bound)
		}
	}
	return (clock.Now() - began).Seconds(), nil
}

func rehearse(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	set, err := newFaultRun(cmd)
	if err != nil {
		return errs.Pass(err, "rehearse")
	}
	run, err := selectScenarios(cmd.StringSlice("only"))
	if err != nil {
		return exitCode{errs.Pass(err, "only"), 2}
	}
	seen := map[string]bool{}
	broken := 0
	for i, sc := range run {
		if ctx.Err() != nil {
			return errs.Wrap(ctx.Err(), errs.Stopped, "rehearse")
		}
		s := &faultRun{dir: set.dir, script: set.script, nodes: set.nodes, caller: fleet.NewCaller(16)}
		line := s.run(ctx, sc, load.Options{Dir: set.dir, Rate: cmd.Float("rate"), Duration: sc.offer, Seed: cmd.Uint64("seed") + uint64(i),
			TaskDuration: time.Duration(cmd.Int("ms")) * time.Millisecond, Retries: 5, CancelProbability: 0.05, DuplicateProbability: 0.05}, seen)
		verdict := "held"
		if len(s.violations) > 0 {
			verdict = "broken"
			broken++
		}
		fmt.Fprintf(cmd.Root().Writer, "%s  %-42s %-7s %s  (%s)\n", sc.key, sc.name, verdict, line, strings.Join(s.notes, "; "))
		for _, w := range s.violations {
			fmt.Fprintln(cmd.Root().Writer, "     ", w)
		}
	}
	if broken > 0 {
		return exitCode{errs.New(errs.Internal, "%d of %d cases are broken", broken, len(run)), 1}
	}
	return nil
}

// program returns the path of a program beside this one.
func program(name string) string {
	self, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(self), name)
}

// selectScenarios returns the scenes of keys in their order, all without keys. Failure: Settings.
func selectScenarios(keys []string) ([]scenario, error) {
	if len(keys) == 0 {
		return scenarios, nil
	}
	var out []scenario
	for _, key := range keys {
		i := slices.IndexFunc(scenarios, func(sc scenario) bool { return sc.key == strings.TrimSpace(key) })
		if i < 0 {
			return nil, errs.Field(errs.Settings, "only", "there is no case %q", key)
		}
		out = append(out, scenarios[i])
	}
	return out, nil
}

// run runs one scene under load, audits, and waits until the fleet is whole again. seen are the broken lines that
// earlier scenes have reported.
func (s *faultRun) run(ctx context.Context, sc scenario, o load.Options, seen map[string]bool) string {
	late := func() bool { return len(fleet.NotReady(ctx, s.caller, s.nodes)) == 0 }
	if _, err := s.await(ctx, 30*time.Second, "ready before the case", late); err != nil {
		s.failf("not run: %v", err)
		return ""
	}
	_, err := s.await(ctx, 15*time.Second, "holders", func() bool {
		who, err := fleet.FindLeaders(ctx, s.caller, s.nodes)
		s.who = who
		return err == nil && who.Store != "" && who.Scheduler != ""
	})
	if err != nil {
		s.failf("not run: %v", err)
		return ""
	}
	var report load.Report
	var faultErr, loaded error
	group := routine.New(ctx)
	group.Go(func(ctx context.Context) { report, loaded = load.Run(ctx, o) })
	ended := clock.Real{}.Wall().Add(o.Duration)
	if pause(ctx, faultDelay) {
		s.markFault()
		faultErr = sc.inject(ctx, s)
	}
	group.Wait()
	if faultErr != nil {
		s.failf("the case: %v", faultErr)
	}
	if loaded != nil {
		s.failf("load: %v", loaded)
	}
	back, err := s.await(ctx, 30*time.Second, "ready after the case", late)
	if err != nil {
		s.failf("%v: %s", err, strings.Join(fleet.NotReady(ctx, s.caller, s.nodes), " "))
	}
	if n := report.Unknown; n > 0 {
		s.failf("%d accepted jobs were unknown", n)
	}
	if n := report.Unfinished; n > 0 {
		s.failf("%d accepted jobs did not end", n)
	}
	s.audit(ctx, seen)
	out, err := s.measureOutage(ended)
	if err != nil {
		s.failf("journals: %v", err)
	}
	return fmt.Sprintf("accept %.2f/%.2f start %.2f/%.2f ready %.1f  offered %d accepted %d done %d cancelled %d fault %d refused %d",
		out.FirstAccept, out.AcceptGap, out.FirstStart, out.StartGap, back, report.Offered, report.Accepted, report.Done,
		report.Cancelled, report.Failed, report.Offered-report.Accepted)
}

// audit reports what is broken and was not reported before.
func (s *faultRun) audit(ctx context.Context, seen map[string]bool) {
	all, err := auditFleet(ctx, s.dir)
	if err != nil {
		s.failf("audit: %v", err)
		return
	}
	for _, f := range all {
		fresh := 0
		for _, line := range f.Lines {
			if seen[f.Invariant+line] {
				continue
			}
			seen[f.Invariant+line] = true
			if fresh++; fresh <= 3 {
				s.failf("%s: %s", f.Invariant, line)
			}
		}
		if fresh > 3 {
			s.failf("%s: and %d more", f.Invariant, fresh-3)
		}
	}
}

// measureOutage measures the outage from the blow to the end of the offers.
func (s *faultRun) measureOutage(ended time.Time) (audit.Outage, error) {
	h, err := audit.Read(s.dir)
	if err != nil {
		return audit.Outage{}, errs.Pass(err, "away")
	}
	h.Events = slices.DeleteFunc(h.Events, func(e audit.Event) bool { return e.At > ended.UnixNano() })
	return audit.MeasureOutage(h, s.faultAt), nil
}
