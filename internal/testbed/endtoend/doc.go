// Package endtoend is the end-to-end test harness of the jobs deployment: it starts control planes, data planes and
// stand-in workers as processes on loopback, runs a scenario of jobs and faults against them, and audits the workers'
// journals.
//
// NewPlan writes the settings (plan.go), Start starts the processes (processes.go), Run runs the scenario
// (scenario.go) with jobs of every kind (jobs.go) through a client (client.go), and Audit checks the invariants
// (audit.go). The tests run shorter scenarios on nodes in their own process. Audit reads only the workers' journals and
// queries no node.
package endtoend
