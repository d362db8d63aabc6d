package pair

import (
	"crosstide/internal/view"
	"crosstide/internal/wire"
)

// Shuffle exchanges parts of two nodes' views of the fleet. Every daemon asks and answers it.
var Shuffle = wire.Pair[view.Message, view.Message]{Path: "/x/shuffle"}
