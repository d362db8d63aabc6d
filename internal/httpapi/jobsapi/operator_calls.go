package jobsapi

import (
	"context"
	"net/http"
	"time"

	"crosstide/internal/controller"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
)

const (
	maxHeartbeatBody = 64 << 10    // bytes
	maxConfigBody    = 16 << 20    // bytes
	heartbeatTimeout = time.Second // after which a worker tries another node
)

// Control executes the operators' calls and the workers' heartbeats. Its methods are safe for concurrent use, return
// when their ctx ends and fail with the same kinds of errors as those of Jobs.
type Control interface {
	Heartbeat(ctx context.Context, call controller.HeartbeatCall) (controller.HeartbeatAnswer, error)
	Config(ctx context.Context, call controller.ConfigCall) (jobs.Config, error)
	Configure(ctx context.Context, change jobs.Configure) (controller.ConfigureAnswer, error)
	Evacuate(ctx context.Context, change jobs.Evacuate) (controller.EvacuateAnswer, error)
	Topology(ctx context.Context, call controller.TopologyCall) (controller.TopologyAnswer, error)
	Workers(ctx context.Context, call controller.WorkersCall) (controller.WorkersAnswer, error)
}

// ConfigVersion is the response to a change of the configuration.
type ConfigVersion struct {
	Version uint64 `json:"version"`
}

// ZoneState is the response to the evacuation or the restoration of a zone.
type ZoneState struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"evacuated"`
}

// Heartbeat is the response to a heartbeat. Leader is the address to which the worker should send its next heartbeats,
// empty if it is unknown.
type Heartbeat struct {
	Leader string `json:"leader,omitempty"`
}

// Worker is the state of a worker as listed for operators.
type Worker struct {
	ID       string    `json:"id"`
	Address  string    `json:"address"`
	Service  string    `json:"service"`
	Zone     string    `json:"zone"`
	Rack     string    `json:"rack,omitempty"`
	Labels   []string  `json:"labels,omitempty"`
	Capacity Resources `json:"capacity"`
	Used     Resources `json:"used"`
	Runs     int       `json:"runs"`
	State    string    `json:"state"` // ready, draining or leaving
}

// Resources is an amount of each kind of resource.
type Resources struct {
	MilliCPU int `json:"milli_cpu"`
	MemoryMB int `json:"memory_mb"`
	GPUs     int `json:"gpus"`
}

// Workers is the response to GET /v2/workers: the workers and the evacuated zones.
type Workers struct {
	Workers   []Worker `json:"workers"`
	Evacuated []string `json:"evacuated"`
}

// RegisterControl registers the routes of the operators' calls and the workers' heartbeats, which backend executes.
// timeout bounds each operator's call; 0 means defaultTimeout. It must be called before the server starts.
//
//	GET   /v2/config                    200 Configuration
//	PUT   /v2/config                    200 ConfigVersion; replaces the whole configuration of a base version
//	PATCH /v2/config                    200 ConfigVersion; changes single items of a base version
//	POST  /v2/zones/{zone}/evacuate     200 ZoneState
//	POST  /v2/zones/{zone}/restore      200 ZoneState
//	GET   /v2/topology                  200 controller.TopologyAnswer
//	GET   /v2/workers                   200 Workers
//	POST  /v2/workers/{id}/heartbeat    200 Heartbeat
func RegisterControl(server Router, backend Control, timeout time.Duration) {
	calls := operatorCalls{backend: backend}
	route(server, "GET /v2/config", timeout, calls.config)
	route(server, "PUT /v2/config", timeout, calls.configure(parsePut))
	route(server, "PATCH /v2/config", timeout, calls.configure(parsePatch))
	route(server, "POST /v2/zones/{zone}/evacuate", timeout, calls.evacuate(true))
	route(server, "POST /v2/zones/{zone}/restore", timeout, calls.evacuate(false))
	route(server, "GET /v2/topology", timeout, calls.topology)
	route(server, "GET /v2/workers", timeout, calls.workers)
	route(server, "POST /v2/workers/{id}/heartbeat", heartbeatTimeout, calls.heartbeat)
}

// operatorCalls has the handlers of the operators' calls and of heartbeats.
type operatorCalls struct{ backend Control }

func (o operatorCalls) config(ctx context.Context, _ *http.Request) (any, error) {
	config, err := o.backend.Config(ctx, controller.ConfigCall{})
	return configurationOf(config), errs.Pass(err, "configuration")
}

func (o operatorCalls) configure(parse func(body []byte) (jobs.Configure, error)) handler {
	return func(ctx context.Context, r *http.Request) (any, error) {
		body, err := rpc.ReadBody(r, maxConfigBody)
		if err != nil {
			return nil, errs.Pass(err, "configure")
		}
		change, err := rpc.DecodeBody(ctx, body, parse)
		if err != nil {
			return nil, errs.Pass(err, "configure")
		}
		_, err = o.backend.Configure(ctx, change)
		return ConfigVersion{Version: change.Version}, errs.Pass(err, "configure")
	}
}

func (o operatorCalls) evacuate(start bool) handler {
	return func(ctx context.Context, r *http.Request) (any, error) {
		zone := r.PathValue("zone")
		if problem := checkName(zone); problem != "" {
			return nil, errs.Field(errs.Invalid, "zone", "%s", problem)
		}
		_, err := o.backend.Evacuate(ctx, jobs.Evacuate{Zone: zone, Start: start})
		return ZoneState{Zone: zone, Evacuated: start}, errs.Pass(err, "evacuate")
	}
}

func (o operatorCalls) topology(ctx context.Context, _ *http.Request) (any, error) {
	answer, err := o.backend.Topology(ctx, controller.TopologyCall{})
	return answer, errs.Pass(err, "topology")
}

func (o operatorCalls) workers(ctx context.Context, _ *http.Request) (any, error) {
	answer, err := o.backend.Workers(ctx, controller.WorkersCall{})
	if err != nil {
		return nil, errs.Pass(err, "workers")
	}
	list := Workers{Workers: []Worker{}, Evacuated: answer.Evacuated}
	for _, view := range answer.Workers {
		list.Workers = append(list.Workers, workerOf(view))
	}
	return list, nil
}

func workerOf(w controller.WorkerView) Worker {
	state := StateReady
	switch {
	case w.Left:
		state = StateLeaving
	case w.Draining:
		state = StateDraining
	}
	return Worker{ID: w.ID, Address: w.Address, Service: w.Service, Zone: w.Zone, Rack: w.Rack, Labels: w.Labels,
		Capacity: resourcesOf(w.Capacity), Used: resourcesOf(w.Used), Runs: w.Runs, State: state}
}

func resourcesOf(r jobs.Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU, MemoryMB: r.MemoryMB, GPUs: r.GPUs}
}

func (o operatorCalls) heartbeat(ctx context.Context, r *http.Request) (any, error) {
	body, err := rpc.ReadBody(r, maxHeartbeatBody)
	if err != nil {
		return nil, errs.Pass(err, "heartbeat")
	}
	call, err := rpc.DecodeBody(ctx, body, func(body []byte) (controller.HeartbeatCall, error) {
		call, err := parseHeartbeat(r.PathValue("id"), body)
		return call, errs.Pass(err, "call")
	})
	if err != nil {
		return nil, errs.Pass(err, "heartbeat")
	}
	answer, err := o.backend.Heartbeat(ctx, call)
	return Heartbeat{Leader: answer.HeartbeatAddress}, errs.Pass(err, "heartbeat")
}
