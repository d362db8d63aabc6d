// Package httpapi has no code. The packages below it are the interfaces of crosstide that others than its own control
// and data planes use, as JSON over HTTP/1.1. They differ by who calls, and in which deployment:
//
//	package      caller               deployment     served by                        paths
//	clientapi    clients              policy         crosstide-dataplane run          /v1/jobs
//	operatorapi  operators            policy, jobs*  crosstide-controlplane run       /v1/bundles, /v1/who, ...
//	jobsapi      clients              jobs           crosstide-dataplane jobs run     /v2/jobs, /v2/queues
//	             operators            jobs           crosstide-controlplane jobs run  /v2/config, /v2/zones, ...
//	             workers' heartbeats  jobs           crosstide-controlplane jobs run  /v2/workers
//	workerapi    the store's leader   jobs           the users' workers               /v2/start, /v2/stop, /v2/hold
//
// *: a control-plane node of the jobs deployment serves operatorapi too, at its address for other nodes, for the
// members of its store.
//
// On the users' platform the interfaces are the platform's: package platform takes the place of jobsapi and workerapi.
// Calls between nodes of crosstide, and lease renewals to workers of the policy deployment, are package internalapi.
package httpapi
