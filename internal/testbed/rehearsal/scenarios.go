package rehearsal

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
	"crosstide/internal/httpapi/operatorapi"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/netproxy"
)

const (
	longOutage    = 25 * time.Second // longer than every lease and time-out
	repairTimeout = 20 * time.Second
	leaveTimeout  = 12 * time.Second // the workers' own grace is 10 s
	readTimeout   = 2 * time.Second
)

// scenario is a case: a fault injected under load.
type scenario struct {
	key, name string
	offer     time.Duration // how long jobs are offered
	inject    func(ctx context.Context, r *caseRun) error
}

// scenarios are the cases, in the order in which they run.
var scenarios = []scenario{
	{"a", "kill -9 of the holder of sched", 20 * time.Second, func(ctx context.Context, r *caseRun) error {
		return errs.Pass(r.killAndRestart(ctx, 6*time.Second, r.leaders.Scheduler), "kill")
	}},
	{"b", "kill -9 of the store's leader", 20 * time.Second, func(ctx context.Context, r *caseRun) error {
		return errs.Pass(r.killAndRestart(ctx, 6*time.Second, r.leaders.Store), "kill")
	}},
	{"c", "kill -9 of all cplanes, started again", 20 * time.Second, func(ctx context.Context, r *caseRun) error {
		var names []string
		for _, n := range r.Nodes.ControlPlanes {
			names = append(names, n.Name)
		}
		return errs.Pass(r.killAndRestart(ctx, time.Second, names...), "kill")
	}},
	{"d", "holder of sched frozen 25 s, woken", 36 * time.Second, func(ctx context.Context, r *caseRun) error {
		r.notef("%s frozen", r.leaders.Scheduler)
		return errs.Pass(r.Freeze(ctx, r.leaders.Scheduler, longOutage), "freeze")
	}},
	{"e", "holder of sched cut off silently 25 s, healed", 36 * time.Second, isolateScheduler},
	{"f", "cplane wiped, repaired, then the leader killed", 30 * time.Second, wipeAndKillLeader},
	{"g", "kill -9 of the zone of the holder of sched", 24 * time.Second, func(ctx context.Context, r *caseRun) error {
		zone := r.zoneOf(r.leaders.Scheduler)
		r.notef("zone %s", zone)
		return errs.Pass(r.killAndRestart(ctx, 8*time.Second, r.Nodes.ProcessesInZone(zone)...), "kill")
	}},
	{"h", "kill -9 of two minions, started again", 20 * time.Second, func(ctx context.Context, r *caseRun) error {
		return errs.Pass(r.killAndRestart(ctx, 3*time.Second, r.pickWorkers(0)...), "kill")
	}},
	{"i", "two minions told to leave (SIGTERM)", 20 * time.Second, drainWorkers},
	{"j", "one job at three nodes, broken bodies and settings", 8 * time.Second, sendInvalidRequests},
}

// zoneOf returns the zone of a node, or "" if the fleet does not have the node.
func (r *caseRun) zoneOf(name string) string {
	for _, n := range r.Nodes.All() {
		if n.Name == name {
			return n.Zone
		}
	}
	return ""
}

// pickWorkers returns one worker of each kind, or two workers if all are of one kind. It considers the workers from
// index from on.
func (r *caseRun) pickWorkers(from int) []string {
	var picked []string
	isPicked := map[string]bool{} // kinds that are picked
	for _, oneOfKind := range []bool{true, false} {
		for _, w := range r.Nodes.Workers[min(from, len(r.Nodes.Workers)):] {
			if len(picked) < 2 && !slices.Contains(picked, w.Name) && !(oneOfKind && isPicked[w.Kind]) {
				picked = append(picked, w.Name)
				isPicked[w.Kind] = true
			}
		}
	}
	return picked
}

// killAndRestart kills processes, all at once, and restarts them after downtime.
func (r *caseRun) killAndRestart(ctx context.Context, downtime time.Duration, names ...string) error {
	err := r.kill(names...)
	r.Sleep(ctx, downtime)
	return errors.Join(err, r.Restart(ctx, names))
}

// isolateScheduler cuts the scheduler's leader off from all nodes.
func isolateScheduler(ctx context.Context, r *caseRun) error {
	name := r.leaders.Scheduler
	r.notef("%s cut off", name)
	_, err := r.InjectNetwork(ctx, netproxy.Fault{Node: name, Kind: netproxy.Blackhole, For: longOutage})
	if err == nil {
		r.Sleep(ctx, longOutage)
	}
	return errs.Pass(err, "cut")
}

// wipeAndKillLeader removes a follower's data, waits until the node is a voting member again, and then kills the leader
// at once: jobs that were accepted before must survive both losses.
func wipeAndKillLeader(ctx context.Context, r *caseRun) error {
	isFollower := func(n fleet.Node) bool { return n.Name != r.leaders.Store }
	i := slices.IndexFunc(r.Nodes.ControlPlanes, isFollower)
	if i < 0 {
		return errs.New(errs.Settings, "at least two cplanes are required")
	}
	follower := r.Nodes.ControlPlanes[i]
	if err := r.Restart(ctx, []string{follower.Name}, "--wipe"); err != nil {
		return errs.Pass(err, "wipe %s", follower.Name)
	}
	leader := ""
	seconds, err := r.Await(ctx, repairTimeout, follower.Name+" repaired", func() (isRepaired bool) {
		leader, isRepaired = r.leaderAfterRepair(ctx, follower)
		return isRepaired
	})
	if err != nil {
		return errs.Pass(err, "wipe")
	}
	if leader == follower.Name {
		return errs.New(errs.Internal, "%s became the leader, so killing it is not a second loss", leader)
	}
	r.notef("%s wiped, repaired in %.1f s", follower.Name, seconds)
	return errs.Pass(r.killAndRestart(ctx, 6*time.Second, leader), "kill")
}

// leaderAfterRepair asks a wiped node for the store's leader, and reports whether the node is a voting member again: a
// member with the ID NAME~INCARNATION that is not a learner.
func (r *caseRun) leaderAfterRepair(ctx context.Context, wiped fleet.Node) (leader string, isRepaired bool) {
	reply, err := r.Caller.Call(ctx, http.MethodGet, wiped.Addr, "/v1/who", nil, readTimeout)
	var who operatorapi.ClusterStatus
	if err != nil || !reply.IsSuccess() || json.Unmarshal(reply.Body, &who) != nil {
		return "", false
	}
	leader, _, _ = strings.Cut(who.Store, "~")
	if len(who.Members) != len(r.Nodes.ControlPlanes) || leader == "" {
		return "", false
	}
	for _, m := range who.Members {
		if strings.HasPrefix(m.ID, wiped.Name+"~") && !m.Learner {
			return leader, true
		}
	}
	return "", false
}

// drainWorkers signals workers to leave, waits until they have exited, and restarts them.
func drainWorkers(ctx context.Context, r *caseRun) error {
	names := r.pickWorkers(2)
	r.markFault()
	for _, name := range names {
		if err := fleet.Signal(r.Dir, name, unix.SIGTERM); err != nil {
			return errs.Pass(err, "leave")
		}
	}
	isRunning := func(name string) bool { _, err := fleet.PID(r.Dir, name); return err == nil }
	seconds, err := r.Await(ctx, leaveTimeout, strings.Join(names, " ")+" exited", func() bool {
		return !slices.ContainsFunc(names, isRunning)
	})
	if err == nil {
		r.notef("%s left in %.1f s", strings.Join(names, " "), seconds)
	}
	return errors.Join(err, r.Restart(ctx, names))
}
