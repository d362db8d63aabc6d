// Package endpoint compares the calls between processes with golden files. It is separate from package golden, which
// must not import crosstide so that every package's tests may use it. The tests of package rpc cannot use this package.
package endpoint

import (
	"crosstide/internal/rpc"
	"crosstide/internal/testbed/golden"
)

// Shapes returns the shapes of an endpoint's call and answer, labeled with its path. Example:
//
//	golden.Compare(t, "wire", endpoint.Shapes(Status), endpoint.Shapes(Join))
func Shapes[C, A any](e rpc.Endpoint[C, A]) string {
	var call C
	var answer A
	return golden.Shape(e.Path+" call", call) + "\n" + golden.Shape(e.Path+" answer", answer)
}
