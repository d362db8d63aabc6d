// Package fleet describes a fleet of the policy deployment on one machine by the files in its folder DIR: nodes.json
// lists its nodes, start the command lines of its processes, and pids their process IDs. The package also reports which
// nodes are ready and which ones lead.
//
// Plan writes the files of a new fleet, and Read reads nodes.json. scripts/fleet starts and stops the processes: this
// package starts none, it only sends them signals (Signal) and HTTP calls (Caller).
package fleet

import (
	"cmp"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"

	"crosstide/internal/errs"
	"crosstide/internal/signature"
)

// Node is one node of the fleet. Only workers have the fields after Addr.
type Node struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	Addr string `json:"addr"`
	Rack string `json:"rack,omitempty"`
	Kind string `json:"kind,omitempty"` // policyworker.KindObey or KindCheck
	Host string `json:"host,omitempty"` // name in DIR/pids of the process that it shares; empty: its own process

	Cores  int               `json:"cores,omitempty"`
	GPUs   int               `json:"gpus,omitempty"`
	Labels map[string]string `json:"labels,omitempty"`
}

// Process returns the name that the node's process has in DIR/pids.
func (n Node) Process() string { return cmp.Or(n.Host, n.Name) }

// Nodes is DIR/nodes.json.
type Nodes struct {
	ControlPlanes []Node `json:"cplanes"`
	DataPlanes    []Node `json:"dplanes"`
	Workers       []Node `json:"minions"`
	ProxyAddr     string `json:"link,omitempty"` // control address of the network proxy; empty: no proxy
}

// All returns every node.
func (n Nodes) All() []Node { return slices.Concat(n.ControlPlanes, n.DataPlanes, n.Workers) }

// ProcessesInZone returns the names of all processes in a zone.
func (n Nodes) ProcessesInZone(zone string) []string {
	var names []string
	for _, node := range n.All() {
		if name := node.Process(); node.Zone == zone && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// Read reads DIR/nodes.json. Failures: Disk, Malformed. Example:
//
//	nodes, err := fleet.Read(dir)
func Read(dir string) (Nodes, error) {
	var nodes Nodes
	data, err := os.ReadFile(filepath.Join(dir, "nodes.json"))
	if err != nil {
		return nodes, errs.Wrap(err, errs.Disk, "nodes of the fleet")
	}
	return nodes, errs.Wrap(json.Unmarshal(data, &nodes), errs.Malformed, "nodes.json")
}

// operators holds the names of the two operators of a fleet. Their keys are in DIR/keys/NAME.json.
var operators = []string{"ada", "ben"}

// Keys reads the operators' keys of the fleet in dir. Failures: Disk, Malformed.
func Keys(dir string) ([]signature.Key, error) {
	var keys []signature.Key
	for _, name := range operators {
		key, err := signature.Load(filepath.Join(dir, "keys", name+".json"))
		if err != nil {
			return nil, errs.Pass(err, "operator %s", name)
		}
		keys = append(keys, key)
	}
	return keys, nil
}
