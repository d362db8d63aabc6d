// Package jobsapi is the product's own interface to the jobs of the jobs deployment, as JSON over HTTP/1.1: the
// clients' calls of a data-plane node (ServeClients), and the operators' calls and the workers' heartbeats of a
// control-plane node (ServeControl).
//
// It translates between the wire and the controller's calls; it decides nothing and keeps no state. Bodies are read
// strictly: an unknown field, a wrong type or a value out of its range is refused with the field's name.
//
// Begin with the tables of calls at ServeClients and ServeControl; job.go, configuration.go and heartbeat.go read the
// bodies.
package jobsapi
