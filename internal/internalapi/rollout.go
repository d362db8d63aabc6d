package internalapi

import (
	"time"

	"crosstide/internal/rpc"
)

// Rollout asks a cplane which bundle it has, and what the dplanes that follow it said of theirs.
var Rollout = rpc.Endpoint[RolloutCall, RolloutAnswer]{Path: "/x/rollout"}

// RolloutCall is empty.
type RolloutCall struct{}

// RolloutAnswer lists the asked cplane itself and the dplanes it heard of in the last minutes.
type RolloutAnswer struct {
	Nodes []NodeBundle `json:"nodes"`
}

// NodeBundle is the bundle version a node has. Since is by the clock of the cplane that reports it: a dplane says how
// long it has had the version, not when it got it.
type NodeBundle struct {
	Node    string    `json:"node"`
	Kind    string    `json:"kind"` // cplane or dplane
	Version uint64    `json:"version"`
	Since   time.Time `json:"since"`
	Heard   time.Time `json:"heard"` // when it last reported it
}
