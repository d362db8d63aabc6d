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
		Description: "crosstide-testbed rehearse --fleet DIR [--only a,b,c]\n\n" + scenesText() + "\n" +
			"A line per case: held, or broken with what is broken below it. accept A/B and start A/B: seconds from the\n" +
			"blow to the first yes to a job handed in after it (the first start), and the longest time without a yes\n" +
			"(without a start) until the offers end. ready: seconds from the load's end until every node is ready.\n" +
			"Exit 1 if a case is broken or could not be run.",
		Flags: []cli.Flag{
			dirFlag(),
			&cli.StringSliceFlag{Name: "only", Usage: "letters of the cases, `a,b,c`, in this order (default: all)"},
			&cli.FloatFlag{Name: "rate", Value: 20, Usage: "jobs per second"},
			&cli.IntFlag{Name: "ms", Value: 400, Usage: "length of a task"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "script", Usage: "scripts/`fleet`, which starts processes again (default: beside this program's folder)"},
		},
		Action: rehearse,
	})
}

// lead is how long the load runs before the blow.
const lead = 4 * time.Second

// scene is one case.
type scene struct {
	key, name string
	offer     time.Duration // how long jobs are offered
	blow      func(ctx context.Context, s *stage) error
}

func scenesText() string {
	var out strings.Builder
	for _, sc := range scenes {
		fmt.Fprintf(&out, "  %s  %s\n", sc.key, sc.name)
	}
	return out.String()
}

// stage is what a scene works on, and its findings.
type stage struct {
	dir, script string
	nodes       fleet.Nodes
	caller      *fleet.Caller
	who         fleet.Holders // before the blow
	at          time.Time     // of the blow
	notes       []string
	wrong       []string
}

// stageOf is the stage that a command's flags name: the fleet, and the script that starts its processes again.
func stageOf(cmd *cli.Command) (stage, error) {
	dir, err := filepath.Abs(cmd.String("fleet"))
	if err != nil {
		return stage{}, errs.Wrap(err, errs.Settings, "fleet")
	}
	nodes, err := fleet.Read(dir)
	if err != nil {
		return stage{}, errs.Pass(err, "fleet")
	}
	script := cmd.String("script")
	if script == "" {
		script = filepath.Join(filepath.Dir(program("crosstide-testbed")), "..", "scripts", "fleet")
	}
	return stage{dir: dir, script: script, nodes: nodes, caller: fleet.NewCaller(16)}, nil
}

func (s *stage) note(format string, args ...any) {
	s.notes = append(s.notes, fmt.Sprintf(format, args...))
}
func (s *stage) blame(format string, args ...any) {
	s.wrong = append(s.wrong, fmt.Sprintf(format, args...))
}

// now marks the moment of the blow.
func (s *stage) now() { s.at = clock.Real{}.Wall() }

func (s *stage) kill(names ...string) error {
	s.now()
	killed, err := killAll(s.dir, "rehearse", names)
	s.note("%s killed", strings.Join(killed, " "))
	if err == nil && len(killed) < len(names) {
		err = errs.New(errs.Unknown, "only %d of %d were there to be killed", len(killed), len(names))
	}
	return errs.Pass(err, "kill")
}

// restart has the fleet's script start nodes again; flags are those of `fleet restart`.
func (s *stage) restart(ctx context.Context, names []string, flags ...string) error {
	for _, name := range names {
		cmd := exec.CommandContext(ctx, s.script, append([]string{"restart", s.dir, name}, flags...)...)
		if out, err := cmd.CombinedOutput(); err != nil {
			return errs.Wrap(err, errs.Internal, "restart %s: %s", name, out)
		}
	}
	return nil
}

// until waits until ok, in seconds; a fault after the bound.
func (s *stage) until(ctx context.Context, bound time.Duration, what string, ok func() bool) (float64, error) {
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
	set, err := stageOf(cmd)
	if err != nil {
		return errs.Pass(err, "rehearse")
	}
	run, err := chosen(cmd.StringSlice("only"))
	if err != nil {
		return exitCode{errs.Pass(err, "only"), 2}
	}
	seen := map[string]bool{}
	broken := 0
	for i, sc := range run {
		if ctx.Err() != nil {
			return errs.Wrap(ctx.Err(), errs.Stopped, "rehearse")
		}
		s := &stage{dir: set.dir, script: set.script, nodes: set.nodes, caller: fleet.NewCaller(16)}
		line := s.play(ctx, sc, load.Options{Dir: set.dir, Rate: cmd.Float("rate"), For: sc.offer, Seed: cmd.Uint64("seed") + uint64(i),
			Run: time.Duration(cmd.Int("ms")) * time.Millisecond, Retries: 5, Cancel: 0.05, Dup: 0.05}, seen)
		verdict := "held"
		if len(s.wrong) > 0 {
			verdict = "broken"
			broken++
		}
		fmt.Fprintf(cmd.Root().Writer, "%s  %-42s %-7s %s  (%s)\n", sc.key, sc.name, verdict, line, strings.Join(s.notes, "; "))
		for _, w := range s.wrong {
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

// chosen returns the scenes of keys in their order, all without keys. Failure: Settings.
func chosen(keys []string) ([]scene, error) {
	if len(keys) == 0 {
		return scenes, nil
	}
	var out []scene
	for _, key := range keys {
		i := slices.IndexFunc(scenes, func(sc scene) bool { return sc.key == strings.TrimSpace(key) })
		if i < 0 {
			return nil, errs.Field(errs.Settings, "only", "there is no case %q", key)
		}
		out = append(out, scenes[i])
	}
	return out, nil
}

// play runs one scene under load, audits, and waits until the fleet is whole again. seen are the broken lines that
// earlier scenes have reported.
func (s *stage) play(ctx context.Context, sc scene, o load.Options, seen map[string]bool) string {
	late := func() bool { return len(fleet.Late(ctx, s.caller, s.nodes)) == 0 }
	if _, err := s.until(ctx, 30*time.Second, "ready before the case", late); err != nil {
		s.blame("not run: %v", err)
		return ""
	}
	_, err := s.until(ctx, 15*time.Second, "holders", func() bool {
		who, err := fleet.Who(ctx, s.caller, s.nodes)
		s.who = who
		return err == nil && who.Store != "" && who.Sched != ""
	})
	if err != nil {
		s.blame("not run: %v", err)
		return ""
	}
	var report load.Report
	var blown, loaded error
	group := routine.New(ctx)
	group.Go(func(ctx context.Context) { report, loaded = load.Run(ctx, o) })
	ended := clock.Real{}.Wall().Add(o.For)
	if pause(ctx, lead) {
		s.now()
		blown = sc.blow(ctx, s)
	}
	group.Wait()
	if blown != nil {
		s.blame("the case: %v", blown)
	}
	if loaded != nil {
		s.blame("load: %v", loaded)
	}
	back, err := s.until(ctx, 30*time.Second, "ready after the case", late)
	if err != nil {
		s.blame("%v: %s", err, strings.Join(fleet.Late(ctx, s.caller, s.nodes), " "))
	}
	if n := report.Unknown; n > 0 {
		s.blame("%d accepted jobs were unknown", n)
	}
	if n := report.Unfinished; n > 0 {
		s.blame("%d accepted jobs did not end", n)
	}
	s.audit(ctx, seen)
	out, err := s.away(ended)
	if err != nil {
		s.blame("journals: %v", err)
	}
	return fmt.Sprintf("accept %.2f/%.2f start %.2f/%.2f ready %.1f  offered %d accepted %d done %d cancelled %d fault %d refused %d",
		out.FirstAccept, out.AcceptGap, out.FirstStart, out.StartGap, back, report.Offered, report.Accepted, report.Done,
		report.Cancelled, report.Fault, report.Offered-report.Accepted)
}

// audit reports what is broken and was not reported before.
func (s *stage) audit(ctx context.Context, seen map[string]bool) {
	all, err := findings(ctx, s.dir)
	if err != nil {
		s.blame("audit: %v", err)
		return
	}
	for _, f := range all {
		fresh := 0
		for _, line := range f.Lines {
			if seen[f.Promise+line] {
				continue
			}
			seen[f.Promise+line] = true
			if fresh++; fresh <= 3 {
				s.blame("%s: %s", f.Promise, line)
			}
		}
		if fresh > 3 {
			s.blame("%s: and %d more", f.Promise, fresh-3)
		}
	}
}

// away measures the outage from the blow to the end of the offers.
func (s *stage) away(ended time.Time) (audit.Outage, error) {
	h, err := audit.Read(s.dir)
	if err != nil {
		return audit.Outage{}, errs.Pass(err, "away")
	}
	h.Events = slices.DeleteFunc(h.Events, func(e audit.Event) bool { return e.At > ended.UnixNano() })
	return audit.Away(h, s.at), nil
}
