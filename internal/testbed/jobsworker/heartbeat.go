package jobsworker

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/httpapi/jobsapi"
	"crosstide/internal/rpc"
)

// heartbeatTimeout is the timeout of one heartbeat.
const heartbeatTimeout = time.Second

// heartbeat is the request body of a heartbeat.
type heartbeat struct {
	State     string            `json:"state"`
	Sequence  int               `json:"sequence"`
	Clock     int64             `json:"clock"`               // time on the worker's clock, ns
	Remaining int64             `json:"remaining,omitempty"` // the grace, ns, while it drains
	Address   string            `json:"address"`
	Service   string            `json:"service"`
	Zone      string            `json:"zone"`
	Rack      string            `json:"rack,omitempty"`
	Labels    []string          `json:"labels,omitempty"`
	Capacity  jobsapi.Resources `json:"capacity"`
}

// heartbeatLoop sends heartbeats until ctx ends.
func (h *Host) heartbeatLoop(ctx context.Context) {
	for {
		h.sendHeartbeat(ctx, jobsapi.StateReady)
		if !clock.Sleep(ctx.Done(), h.clock, h.settings.HeartbeatInterval) {
			return
		}
	}
}

// sendHeartbeat sends one heartbeat, to the leader if it is known. After a failure the next one goes to another node.
func (h *Host) sendHeartbeat(ctx context.Context, state string) {
	body, addr := h.nextHeartbeat(state)
	leader, err := h.postHeartbeat(ctx, addr, body)
	if err != nil {
		_ = level.Debug(h.logger).Log("msg", "heartbeat failed", "to", addr, "err", err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leader = leader
	if err != nil {
		h.nextCore = (h.nextCore + 1) % math.MaxInt32
	}
}

// nextHeartbeat assigns the next sequence number, and returns the body and the address of that heartbeat.
func (h *Host) nextHeartbeat(state string) (body heartbeat, addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	capacity := h.settings.Capacity
	body = heartbeat{State: state, Sequence: h.sequence, Clock: max(h.now().Nanoseconds(), 0),
		Address: h.server.Addr(), Service: h.settings.Service, Zone: h.settings.Zone, Rack: h.settings.Rack,
		Labels:   h.settings.Labels,
		Capacity: jobsapi.Resources{MilliCPU: capacity.MilliCPU, MemoryMB: capacity.MemoryMB, GPUs: capacity.GPUs}}
	if h.isDraining {
		body.Remaining = h.settings.Grace.Nanoseconds()
		if state == jobsapi.StateReady {
			body.State = jobsapi.StateDraining
		}
	}
	if h.leader != "" {
		return body, h.leader
	}
	return body, h.settings.ControlAddrs[h.nextCore%len(h.settings.ControlAddrs)]
}

// postHeartbeat sends a heartbeat and returns the address of the leader that the answer names.
func (h *Host) postHeartbeat(ctx context.Context, addr string, body heartbeat) (leader string, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return "", errs.Wrap(err, errs.Internal, "encode heartbeat")
	}
	request := rpc.Request{Method: http.MethodPost, Path: "/v2/workers/" + h.id + "/heartbeat", Body: data,
		Header: map[string]string{"Content-Type": "application/json"}}
	response, err := h.client.Do(ctx, addr, request, heartbeatTimeout)
	if err != nil {
		return "", errs.Pass(err, "heartbeat")
	}
	if response.Status != http.StatusOK {
		return "", errs.New(errs.Unavailable, "heartbeat answered with status %d: %s", response.Status, response.Body)
	}
	var answer jobsapi.Heartbeat
	err = json.Unmarshal(response.Body, &answer)
	return answer.Leader, errs.Wrap(err, errs.Malformed, "decode answer to heartbeat")
}
