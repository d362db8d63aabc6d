// Package jobsapi is the API of the jobs deployment, as JSON over HTTP/1.1. A data-plane node serves the clients' calls
// (RegisterClients); a control-plane node serves the operators' calls and the workers' heartbeats (RegisterControl).
//
// The package converts between JSON and the controller's calls. It makes no decisions and keeps no state. Bodies are
// parsed strictly: an unknown field, a wrong type or a value out of range is rejected with the name of the field.
//
// Entry points: the tables of calls at RegisterClients and RegisterControl; job.go, configuration.go and heartbeat.go
// parse the bodies.
package jobsapi
