// Package endpoint pins the calls between processes in golden files. It stands apart from package golden, which imports
// nothing of crosstide so that every package's tests may use it; package rpc's own tests can't use this one.
package endpoint

import (
	"crosstide/internal/rpc"
	"crosstide/internal/testbed/golden"
)

// Shapes returns the shapes of an endpoint's call and answer, under its path. Example:
//
//	golden.Compare(t, "wire", endpoint.Shapes(Status), endpoint.Shapes(Join))
func Shapes[C, A any](e rpc.Endpoint[C, A]) string {
	var call C
	var answer A
	return golden.Shape(e.Path+" call", call) + "\n" + golden.Shape(e.Path+" answer", answer)
}
