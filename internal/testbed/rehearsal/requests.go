package rehearsal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/httpapi/clientapi"
	"crosstide/internal/routine"
	"crosstide/internal/state"
	"crosstide/internal/testbed/audit"
	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/load"
)

const (
	requestTimeout = 5 * time.Second
	doneTimeout    = 10 * time.Second // of a job of one short task
)

// sendInvalidRequests sends malformed and invalid jobs, checks invalid settings, and sends one job to three nodes at
// once.
func sendInvalidRequests(ctx context.Context, r *caseRun) error {
	if err := r.submitAtThreeNodes(ctx); err != nil {
		return errs.Pass(err, "one job at three nodes")
	}
	tooLarge := `{"key":"` + strings.Repeat("x", clientapi.MaxBody) + `"}`
	wantStatus := map[string]int{ // by body
		`{"key":`: http.StatusBadRequest,
		tooLarge:  http.StatusRequestEntityTooLarge,
		`{"key":"odd","team":"drill","queue":"default","steps":[]}`: http.StatusUnprocessableEntity,
	}
	for _, n := range r.Nodes.DataPlanes {
		for body, want := range wantStatus {
			reply, err := r.Caller.Send(ctx, http.MethodPost, n.Addr, "/v1/jobs", []byte(body), requestTimeout)
			if err != nil || reply.Status != want {
				r.violatef("%s answers %d (%v) to %.20q of %d bytes, not %d", n.Name, reply.Status, err, body,
					len(body), want)
			}
		}
	}
	for program, node := range map[string]string{"crosstide-controlplane": r.Nodes.ControlPlanes[0].Name,
		"crosstide-dataplane": r.Nodes.DataPlanes[0].Name} {
		if err := r.checkInvalidSettings(ctx, program, node); err != nil {
			return errs.Pass(err, "settings of a %s", program)
		}
	}
	r.notef("3 bodies at %d nodes, 2 settings files with 3 mistakes", len(r.Nodes.DataPlanes))
	return nil
}

// checkInvalidSettings runs a program's check of settings on those of a node with three errors in them: it must exit 1
// and name all three.
func (r *caseRun) checkInvalidSettings(ctx context.Context, program, node string) error {
	raw, err := os.ReadFile(filepath.Join(r.Dir, "settings", node+".json"))
	if err != nil {
		return errs.Wrap(err, errs.Disk, "settings of %s", node)
	}
	settings := map[string]any{}
	if err := json.Unmarshal(raw, &settings); err != nil {
		return errs.Wrap(err, errs.Malformed, "settings of %s", node)
	}
	settings["addr"], settings["grace"], settings["odd"] = "nowhere", "3 monkeys", 1
	if raw, err = json.Marshal(settings); err != nil {
		return errs.Wrap(err, errs.Internal, "encode")
	}
	path := filepath.Join(r.Dir, "settings", "wrong-"+program+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return errs.Wrap(err, errs.Disk, "write settings")
	}
	cmd := exec.CommandContext(ctx, filepath.Join(r.binDir, program), "check", "--settings", path)
	out, err := cmd.CombinedOutput()
	exit := &exec.ExitError{}
	if !errors.As(err, &exit) || exit.ExitCode() != 1 {
		r.violatef("%s check of settings with mistakes ends with %v, not exit 1", program, err)
	}
	for _, field := range []string{"addr:", "grace:", "odd:"} {
		if !strings.Contains(string(out), field) {
			r.violatef("%s check does not name %s in %q", program, field, out)
		}
	}
	return nil
}

// threefoldJob is a job that is submitted at three nodes at once.
type threefoldJob struct {
	*caseRun
	spec   state.Spec
	writer *journal.Writer // of its client
}

// submitAtThreeNodes submits the same job to three nodes at once, and checks that it becomes one job with one start,
// and that another job with its key is refused.
func (r *caseRun) submitAtThreeNodes(ctx context.Context) error {
	key := fmt.Sprintf("thrice-%d", clock.Real{}.Wall().UnixNano())
	writer, err := journal.Open(filepath.Join(r.Dir, "journal", "consumer-"+key+".jsonl"))
	if err != nil {
		return errs.Pass(err, "client's journal")
	}
	defer writer.Close()
	step := state.StepSpec{Name: "s1", Type: "scan", Tasks: 1, Cores: 1, Run: json.RawMessage(`{"ms":100,"ok":true}`)}
	job := threefoldJob{caseRun: r, writer: writer,
		spec: state.Spec{Key: key, Team: "drill", Queue: "default", Steps: []state.StepSpec{step}}}
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
	reply, err := r.Caller.Call(ctx, http.MethodPost, r.Nodes.DataPlanes[0].Addr, "/v1/jobs", job.spec, requestTimeout)
	if err != nil || reply.Status != http.StatusConflict {
		r.violatef("another job under the key is answered %d (%v), not 409", reply.Status, err)
	}
	return nil
}

// record writes an event of the job into the client's journal.
func (j *threefoldJob) record(event, phase string) error {
	err := j.writer.Append(load.Entry{At: clock.Real{}.Wall().UnixNano(), Event: event, Job: j.spec.Key, State: phase,
		Steps: []load.Step{{Name: "s1", Type: "scan", Tasks: 1, Cores: 1}}})
	return errs.Pass(err, "client's journal")
}

// submit sends the job to three nodes at once; each must accept it.
func (j *threefoldJob) submit(ctx context.Context) error {
	if err := j.record(load.Submit, ""); err != nil {
		return errs.Pass(err, "submit")
	}
	statuses := make([]int, 3)
	routine.Each(len(statuses), len(statuses), func(i int) {
		node := j.Nodes.DataPlanes[i%len(j.Nodes.DataPlanes)]
		reply, err := j.Caller.Call(ctx, http.MethodPost, node.Addr, "/v1/jobs", j.spec, requestTimeout)
		if err == nil {
			statuses[i] = reply.Status
		}
	})
	for _, status := range statuses {
		if status != http.StatusOK && status != http.StatusAccepted {
			j.violatef("one job at three nodes is answered %v", statuses)
		}
	}
	return errs.Pass(j.record(load.Accepted, ""), "accepted")
}

// awaitDone polls the job until it is done.
func (j *threefoldJob) awaitDone(ctx context.Context) error {
	addr, path := j.Nodes.DataPlanes[0].Addr, "/v1/jobs/"+j.spec.Key
	_, err := j.Await(ctx, doneTimeout, j.spec.Key+" done", func() bool {
		reply, err := j.Caller.Call(ctx, http.MethodGet, addr, path, nil, readTimeout)
		var view struct{ State string }
		return err == nil && json.Unmarshal(reply.Body, &view) == nil && view.State == string(state.JobDone)
	})
	if err != nil {
		return errs.Pass(err, "await the end")
	}
	return errs.Pass(j.record(load.Poll, string(state.JobDone)), "poll")
}

// checkOneStart counts the starts in the workers' journals.
func (j *threefoldJob) checkOneStart() error {
	history, err := audit.Read(j.Dir)
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
		j.violatef("one job at three nodes had %d starts", starts)
	}
	return nil
}
