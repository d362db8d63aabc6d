package internalapi

import (
	"time"

	"crosstide/internal/rpc"
)

// Rollout asks a control-plane node which policy bundle it has, and which ones were reported by the data-plane nodes
// that follow it.
var Rollout = rpc.Endpoint[RolloutCall, RolloutAnswer]{Path: "/x/rollout"}

// RolloutCall is empty.
type RolloutCall struct{}

// RolloutAnswer lists the answering node, and the data-plane nodes that reported to it in the last minutes.
type RolloutAnswer struct {
	Nodes []NodeBundle `json:"nodes"`
}

// NodeBundle is the bundle version that a node has. Since is a reading of the answering control-plane node's clock: a
// data-plane node reports how long it has had the version, not since when.
type NodeBundle struct {
	Node    string    `json:"node"`
	Kind    string    `json:"kind"` // cplane or dplane
	Version uint64    `json:"version"`
	Since   time.Time `json:"since"`
	Heard   time.Time `json:"heard"` // time of its last report
}
