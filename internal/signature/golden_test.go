package signature

import (
	"testing"
	"time"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of the types that are stored or sent to other processes, clients and operators.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("file", keyFile{}),
		golden.Filled("file", keyFile{}),
	)
}

// TestGoldenTexts pins the texts that operators sign.
func TestGoldenTexts(t *testing.T) {
	golden.Compare(t, "texts",
		golden.Lines("account create", AccountCreate("order", "account", 1)),
		golden.Lines("account top-up", AccountTopUp("key", "account", 2)),
		golden.Lines("job parties", JobParties("order", "digest")),
		golden.Lines("bundle", Bundle(3, "digest")),
		golden.Lines("put", BundlePut("order", 4, "digest")),
		golden.Lines("patch", BundlePatch("order", 5, "digest")),
		golden.Lines("evacuate", Evacuate("order", "zone")),
		golden.Lines("lift", Lift("zone", time.Unix(0, 6))),
		golden.Lines("digest", Digest([]byte("text"))),
	)
}
