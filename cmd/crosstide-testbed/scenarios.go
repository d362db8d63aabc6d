package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/httpapi/clientapi"
	"crosstide/internal/httpapi/operatorapi"
	"crosstide/internal/routine"
	"crosstide/internal/state"
	"crosstide/internal/testbed/audit"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/load"
	"crosstide/internal/testbed/netproxy"
)

// longOutage is how long a holder is frozen or cut off: over every lease, hold and time-out.
const longOutage = 25 * time.Second

// scenarios are the cases of a rehearsal.
var scenarios = []scenario{
	{"a", "kill -9 of the holder of sched", 20 * time.Second, func(ctx context.Context, s *faultRun) error {
		return errs.Pass(s.killAndRestart(ctx, 6*time.Second, s.who.Scheduler), "kill")
	}},
	{"b", "kill -9 of the store's leader", 20 * time.Second, func(ctx context.Context, s *faultRun) error {
		return errs.Pass(s.killAndRestart(ctx, 6*time.Second, s.who.Store), "kill")
	}},
	{"c", "kill -9 of all cplanes, started again", 20 * time.Second, func(ctx context.Context, s *faultRun) error {
		return errs.Pass(s.killAndRestart(ctx, time.Second, nodeNames(s.nodes.ControlPlanes)...), "kill")
	}},
	{"d", "holder of sched frozen 25 s, woken", 36 * time.Second, func(ctx context.Context, s *faultRun) error {
		s.notef("%s frozen", s.who.Scheduler)
		return errs.Pass(freeze(ctx, s.dir, s.who.Scheduler, longOutage), "freeze")
	}},
	{"e", "holder of sched cut off silently 25 s, healed", 36 * time.Second, func(ctx context.Context, s *faultRun) error {
		s.notef("%s cut off", s.who.Scheduler)
		_, err := cut(ctx, s.dir, netproxy.Fault{Node: s.who.Scheduler, Kind: netproxy.Blackhole, For: longOutage})
		if err == nil {
			pause(ctx, longOutage)
		}
		return errs.Pass(err, "cut")
	}},
	{"f", "cplane wiped, repaired, then the leader killed", 30 * time.Second, wipeAndKillLeader},
	{"g", "kill -9 of the zone of the holder of sched", 24 * time.Second, func(ctx context.Context, s *faultRun) error {
		zone := s.zoneOf(s.who.Scheduler)
		s.notef("zone %s", zone)
		return errs.Pass(s.killAndRestart(ctx, 8*time.Second, s.nodes.ProcessesInZone(zone)...), "kill")
	}},
	{"h", "kill -9 of two minions, started again", 20 * time.Second, func(ctx context.Context, s *faultRun) error {
		return errs.Pass(s.killAndRestart(ctx, 3*time.Second, s.pickWorkers(0)...), "kill")
	}},
	{"i", "two minions told to leave (SIGTERM)", 20 * time.Second, drainWorkers},
	{"j", "one job at three nodes, broken bodies and settings", 8 * time.Second, invalidRequests},
}

func nodeNames(nodes []fleet.Node) []string {
	var out []string
	for _, n := range nodes {
		out = append(out, n.Name)
	}
	return out
}

func (s *faultRun) zoneOf(name string) string {
	for _, n := range s.nodes.All() {
		if n.Name == name {
			return n.Zone
		}
	}
	return ""
}

// pickWorkers returns a minion of either kind, or two of the one there is; from is the first to look at.
func (s *faultRun) pickWorkers(from int) []string {
	var out []string
	kinds := map[string]bool{}
	for _, only := range []bool{true, false} {
		for _, m := range s.nodes.Workers[min(from, len(s.nodes.Workers)):] {
			if len(out) < 2 && !slices.Contains(out, m.Name) && !(only && kinds[m.Kind]) {
				out, kinds[m.Kind] = append(out, m.Name), true
			}
		}
	}
	return out
}

// killAndRestart kills nodes at once and starts them again after a while.
func (s *faultRun) killAndRestart(ctx context.Context, after time.Duration, nodes ...string) error {
	err := s.kill(nodes...)
	pause(ctx, after)
	return errors.Join(err, s.restart(ctx, nodes))
}

// wipeAndKillLeader takes a follower's disk, waits until the node counts again, and kills the leader at once after that.
func wipeAndKillLeader(ctx context.Context, s *faultRun) error {
	i := slices.IndexFunc(s.nodes.ControlPlanes, func(n fleet.Node) bool { return n.Name != s.who.Store })
	if i < 0 {
		return errs.New(errs.Settings, "there is only one cplane")
	}
	victim := s.nodes.ControlPlanes[i]
	if err := s.restart(ctx, []string{victim.Name}, "--wipe"); err != nil {
		return errs.Pass(err, "wipe %s", victim.Name)
	}
	leader := ""
	took, err := s.await(ctx, 20*time.Second, victim.Name+" repaired", func() bool {
		reply, err := s.caller.Call(ctx, http.MethodGet, victim.Addr, "/v1/who", nil, 2*time.Second)
		var who operatorapi.Who
		if err != nil || !reply.IsSuccess() || json.Unmarshal(reply.Body, &who) != nil || len(who.Members) != len(s.nodes.ControlPlanes) {
			return false
		}
		leader, _, _ = strings.Cut(who.Store, "~")
		for _, m := range who.Members {
			if strings.HasPrefix(m.ID, victim.Name+"~") && !m.Learner {
				return leader != ""
			}
		}
		return false
	})
	if err != nil {
		return errs.Pass(err, "wipe")
	}
	if leader == victim.Name {
		return errs.New(errs.Internal, "%s leads already, it cannot be the second loss", leader)
	}
	s.notef("%s wiped, repaired in %.1f s", victim.Name, took)
	return errs.Pass(s.killAndRestart(ctx, 6*time.Second, leader), "kill")
}

// drainWorkers asks minions to leave and waits until they have; their own grace is 10 s.
func drainWorkers(ctx context.Context, s *faultRun) error {
	nodes := s.pickWorkers(2)
	s.markFault()
	for _, name := range nodes {
		if err := fleet.Signal(s.dir, name, unix.SIGTERM); err != nil {
			return errs.Pass(err, "leave")
		}
	}
	took, err := s.await(ctx, 12*time.Second, strings.Join(nodes, " ")+" gone", func() bool {
		return !slices.ContainsFunc(nodes, func(name string) bool { _, err := fleet.PID(s.dir, name); return err == nil })
	})
	if err == nil {
		s.notef("%s left in %.1f s", strings.Join(nodes, " "), took)
	}
	return errors.Join(err, s.restart(ctx, nodes))
}

// invalidRequests hands in what clients and operators get wrong, and one job at three nodes at once.
func invalidRequests(ctx context.Context, s *faultRun) error {
	if err := s.submitAtThreeNodes(ctx); err != nil {
		return errs.Pass(err, "one job at three nodes")
	}
	for _, n := range s.nodes.DataPlanes {
		big := `{"key":"` + strings.Repeat("x", clientapi.MaxBody) + `"}`
		for body, want := range map[string]int{`{"key":`: http.StatusBadRequest, big: http.StatusRequestEntityTooLarge,
			`{"key":"odd","team":"drill","queue":"default","steps":[]}`: http.StatusUnprocessableEntity} {
			reply, err := s.caller.Send(ctx, http.MethodPost, n.Addr, "/v1/jobs", []byte(body), 5*time.Second)
			if err != nil || reply.Status != want {
				s.failf("%s answers %d (%v) to %.20q of %d bytes, not %d", n.Name, reply.Status, err, body, len(body), want)
			}
		}
	}
	for _, name := range []string{"crosstide-controlplane", "crosstide-dataplane"} {
		if err := s.checkInvalidSettings(ctx, name); err != nil {
			return errs.Pass(err, "settings of a %s", name)
		}
	}
	s.notef("3 bodies at %d nodes, 2 settings files with 3 mistakes", len(s.nodes.DataPlanes))
	return nil
}

// threefoldJob is a job that is submitted at three nodes at once.
type threefoldJob struct {
	faultRun *faultRun
	spec     state.Spec
	journal  *journal.Writer // of its client
}

// submitAtThreeNodes submits one job at three nodes at once, which must make one job and one start. Another job
// under its key must be refused.
func (s *faultRun) submitAtThreeNodes(ctx context.Context) error {
	key := fmt.Sprintf("thrice-%d", clock.Real{}.Wall().UnixNano())
	writer, err := journal.Open(filepath.Join(s.dir, "journal", "consumer-"+key+".jsonl"))
	if err != nil {
		return errs.Pass(err, "client's journal")
	}
	defer writer.Close()
	job := threefoldJob{faultRun: s, journal: writer, spec: state.Spec{Key: key, Team: "drill", Queue: "default",
		Steps: []state.StepSpec{{Name: "s1", Type: "scan", Tasks: 1, Cores: 1, Run: json.RawMessage(`{"ms":100,"ok":true}`)}}}}
	if err := job.submit(ctx); err != nil {
		return errs.Pass(err, "submit")
	}
	if err := job.awaitDone(ctx); err != nil {
		return errs.Pass(err, "one job at three nodes")
	}
	if err := job.checkOneStart(); err != nil {
		return errs.Pass(err, "starts of %s", key)
	}
	job.spec.Team = "other"
	reply, err := s.caller.Call(ctx, http.MethodPost, s.nodes.DataPlanes[0].Addr, "/v1/jobs", job.spec, 5*time.Second)
	if err != nil || reply.Status != http.StatusConflict {
		s.failf("another job under the key is answered %d (%v), not 409", reply.Status, err)
	}
	return nil
}

// record writes an event of the job into the client's journal.
func (j *threefoldJob) record(event, phase string) error {
	return errs.Pass(j.journal.Append(load.Entry{At: clock.Real{}.Wall().UnixNano(), Event: event, Job: j.spec.Key, State: phase,
		Steps: []load.Step{{Name: "s1", Type: "scan", Tasks: 1, Cores: 1}}}), "client's journal")
}

// submit sends the job to three nodes at once; each must accept it.
func (j *threefoldJob) submit(ctx context.Context) error {
	if err := j.record(load.Submit, ""); err != nil {
		return errs.Pass(err, "submit")
	}
	s := j.faultRun
	statuses := make([]int, 3)
	routine.Each(3, 3, func(i int) {
		n := s.nodes.DataPlanes[i%len(s.nodes.DataPlanes)]
		if reply, err := s.caller.Call(ctx, http.MethodPost, n.Addr, "/v1/jobs", j.spec, 5*time.Second); err == nil {
			statuses[i] = reply.Status
		}
	})
	for _, status := range statuses {
		if status != http.StatusOK && status != http.StatusAccepted {
			s.failf("one job at three nodes is answered %v", statuses)
		}
	}
	return errs.Pass(j.record(load.Accepted, ""), "accepted")
}

// awaitDone polls the job until it is done.
func (j *threefoldJob) awaitDone(ctx context.Context) error {
	s := j.faultRun
	_, err := s.await(ctx, 10*time.Second, j.spec.Key+" done", func() bool {
		reply, err := s.caller.Call(ctx, http.MethodGet, s.nodes.DataPlanes[0].Addr, "/v1/jobs/"+j.spec.Key, nil, 2*time.Second)
		var view struct{ State string }
		return err == nil && json.Unmarshal(reply.Body, &view) == nil && view.State == string(state.JobDone)
	})
	if err != nil {
		return errs.Pass(err, "await the end")
	}
	return errs.Pass(j.record(load.Poll, string(state.JobDone)), "poll")
}

// checkOneStart counts the starts in the minions' journals.
func (j *threefoldJob) checkOneStart() error {
	history, err := audit.Read(j.faultRun.dir)
	if err != nil {
		return errs.Pass(err, "journals")
	}
	starts := 0
	for _, e := range history.Events {
		if e.Event == journal.Start && e.Job == j.spec.Key {
			starts++
		}
	}
	if starts != 1 {
		j.faultRun.failf("one job at three nodes had %d starts", starts)
	}
	return nil
}

// checkInvalidSettings has a program check settings with three mistakes: it must exit 1 and name all three.
func (s *faultRun) checkInvalidSettings(ctx context.Context, name string) error {
	of := map[string]string{"crosstide-controlplane": s.nodes.ControlPlanes[0].Name, "crosstide-dataplane": s.nodes.DataPlanes[0].Name}[name]
	raw, err := os.ReadFile(filepath.Join(s.dir, "settings", of+".json"))
	if err != nil {
		return errs.Wrap(err, errs.Disk, "settings of %s", of)
	}
	set := map[string]any{}
	if err := json.Unmarshal(raw, &set); err != nil {
		return errs.Wrap(err, errs.Malformed, "settings of %s", of)
	}
	set["addr"], set["grace"], set["odd"] = "nowhere", "3 monkeys", 1
	if raw, err = json.Marshal(set); err != nil {
		return errs.Wrap(err, errs.Internal, "encode")
	}
	path := filepath.Join(s.dir, "settings", "wrong-"+name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return errs.Wrap(err, errs.Disk, "write settings")
	}
	out, err := exec.CommandContext(ctx, program(name), "check", "--settings", path).CombinedOutput()
	exit := &exec.ExitError{}
	if !errors.As(err, &exit) || exit.ExitCode() != 1 {
		s.failf("%s check of settings with mistakes ends with %v, not exit 1", name, err)
	}
	for _, field := range []string{"addr:", "grace:", "odd:"} {
		if !strings.Contains(string(out), field) {
			s.failf("%s check does not name %s in %q", name, field, out)
		}
	}
	return nil
}
