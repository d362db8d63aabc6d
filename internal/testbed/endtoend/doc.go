// Package endtoend is the end-to-end harness of the jobs deployment: it starts control planes, data planes and stand-in
// workers as processes on loopback, plays a scenario of jobs and faults on them, and audits the workers' journals.
//
// NewPlan writes the settings (plan.go), Start starts the processes (processes.go), Run plays the scenario
// (scenario.go) with jobs of every kind (jobs.go) through a client (client.go), and Audit checks the invariants
// (audit.go). The tests play shorter scenarios on nodes in their own process. Audit judges only what workers journaled:
// it asks no node.
package endtoend
