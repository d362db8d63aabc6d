// Package processes runs the system's programs as processes on loopback addresses, for tests. It writes the settings
// file of each process from a template, and freezes, stops and restarts processes. It judges nothing.
//
// A test builds the programs with BuildPrograms, starts a fleet with Start and ends it with Fleet.Stop.
package processes
