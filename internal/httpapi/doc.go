// Package httpapi has no code. Its subpackages are the APIs, as JSON over HTTP/1.1, between crosstide's nodes and
// clients, operators and workers. They differ by caller and by deployment:
//
//	package      caller               deployment     served by                        paths
//	clientapi    clients              policy         crosstide-dataplane run          /v1/jobs
//	operatorapi  operators            policy, jobs*  crosstide-controlplane run       /v1/bundles, /v1/who, ...
//	jobsapi      clients              jobs           crosstide-dataplane jobs run     /v2/jobs, /v2/queues
//	             operators            jobs           crosstide-controlplane jobs run  /v2/config, /v2/zones, ...
//	             workers' heartbeats  jobs           crosstide-controlplane jobs run  /v2/workers
//	workerapi    the store's leader   jobs           the users' workers               /v2/start, /v2/stop, /v2/hold
//
// *: a control-plane node of the jobs deployment also serves operatorapi, at its internal address, to manage the
// members of its store.
//
// On the users' platform, package platform replaces jobsapi and workerapi: it implements the platform's own APIs.
// Calls between crosstide's nodes, and lease renewals to workers of the policy deployment, are in package internalapi.
package httpapi
