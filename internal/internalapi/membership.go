package internalapi

import (
	"crosstide/internal/membership"
	"crosstide/internal/rpc"
)

// Shuffle exchanges parts of two nodes' views of the fleet. Every node sends and answers it.
var Shuffle = rpc.Endpoint[membership.Message, membership.Message]{Path: "/x/shuffle"}
