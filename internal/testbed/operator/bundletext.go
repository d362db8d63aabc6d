package operator

import (
	"encoding/json"
	"strings"
)

// queue returns a random queue for a bundle: some of the zones, and with a probability of 1/3 a lease time.
func (o *session) queue() map[string]any {
	zones := []string{}
	for _, k := range o.rng.Perm(len(o.zones))[:1+o.rng.IntN(len(o.zones))] {
		zones = append(zones, o.zones[k])
	}
	q := map[string]any{"placement": map[string]any{"zones": zones}, "urgent": o.rng.IntN(2) == 0}
	if o.rng.IntN(3) == 0 {
		q["hold"] = "15s"
	}
	return q
}

// bundleText returns a complete random bundle. Its white space is random, too: the fleet must keep the bytes that were
// signed.
func (o *session) bundleText() []byte {
	queues := map[string]any{"default": o.queue()}
	for range o.rng.IntN(4) {
		queues[string(rune('a'+o.rng.IntN(26)))+"-queue"] = o.queue()
	}
	doc := map[string]any{"queues": queues, "limits": map[string]int{"scan": 1 + o.rng.IntN(200)},
		"weights": map[string]int{"drill": 1 + o.rng.IntN(9)}}
	raw, err := json.MarshalIndent(doc, strings.Repeat("\t", o.rng.IntN(2)), strings.Repeat(" ", o.rng.IntN(5)))
	if err != nil {
		panic(err) // maps of strings and numbers
	}
	return append(raw, strings.Repeat("\n", o.rng.IntN(3))...)
}
