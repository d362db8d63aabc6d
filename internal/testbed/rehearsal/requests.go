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

// sendInvalidRequests checks that one job that is sent to three nodes at once becomes one job, and that malformed jobs,
// invalid jobs and invalid settings are refused.
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
				r.violatef("%s answered %d (%v) to %.20q of %d bytes, want %d", n.Name, reply.Status, err, body,
					len(body), want)
			}
		}
	}
	for program, node := range map[string]string{"crosstide-controlplane": r.Nodes.ControlPlanes[0].Name,
		"crosstide-dataplane": r.Nodes.DataPlanes[0].Name} {
		if err := r.checkInvalidSettings(ctx, program, node); err != nil {
			return errs.Pass(err, "check settings of %s", program)
		}
	}
	r.notef("3 invalid bodies at %d nodes, 2 settings files with 3 errors each", len(r.Nodes.DataPlanes))
	return nil
}

// checkInvalidSettings adds three errors to the settings of a node and runs the program's check of settings on them. It
// must exit with 1 and name all three.
func (r *caseRun) checkInvalidSettings(ctx context.Context, program, node string) error {
	raw, err := os.ReadFile(filepath.Join(r.Dir, "settings", node+".json"))
	if err != nil {
		return errs.Wrap(err, errs.Disk, "read settings of %s", node)
	}
	settings := map[string]any{}
	if err := json.Unmarshal(raw, &settings); err != nil {
		return errs.Wrap(err, errs.Malformed, "decode settings of %s", node)
	}
	settings["addr"], settings["grace"], settings["odd"] = "nowhere", "not a duration", 1
	if raw, err = json.Marshal(settings); err != nil {
		return errs.Wrap(err, errs.Internal, "encode")
	}
	path := filepath.Join(r.Dir, "settings", "wrong-"+program+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return errs.Wrap(err, errs.Disk, "write settings")
	}
	cmd := exec.CommandContext(ctx, filepath.Join(r.binDir, program), "check", "--settings", path)
	output, err := cmd.CombinedOutput()
	exit := &exec.ExitError{}
	if !errors.As(err, &exit) || exit.ExitCode() != 1 {
		r.violatef("%s check of invalid settings ended with %v, want exit status 1", program, err)
	}
	for _, field := range []string{"addr:", "grace:", "odd:"} {
		if !strings.Contains(string(output), field) {
			r.violatef("%s check does not name %s in %q", program, field, output)
		}
	}
	return nil
}

// threefoldJob is a job that is submitted to three nodes at once.
type threefoldJob struct {
	*caseRun
	spec   state.Spec
	writer *journal.Writer // of the job's client
}

// submitAtThreeNodes submits the same job to three nodes at once. It checks that this creates one job with one start,
// and that a different job with the same key is refused.
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
		r.violatef("a different job with the same key was answered with %d (%v), want 409", reply.Status, err)
	}
	return nil
}

// record journals an event of the job for its client.
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
			j.violatef("one job at three nodes was answered with %v", statuses)
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
