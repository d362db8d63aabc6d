package operator

import (
	"encoding/json"
	"strings"
)

// randomQueue returns a random queue for a bundle: it may use some of the zones, and with a probability of 1/3 it sets
// a lease time.
func (o *session) randomQueue() map[string]any {
	zones := []string{}
	for _, k := range o.rng.Perm(len(o.zones))[:1+o.rng.IntN(len(o.zones))] {
		zones = append(zones, o.zones[k])
	}
	queue := map[string]any{"placement": map[string]any{"zones": zones}, "urgent": o.rng.IntN(2) == 0}
	if o.rng.IntN(3) == 0 {
		queue["hold"] = "15s"
	}
	return queue
}

// randomBundle returns the text of a complete random bundle. Its white space is random too, because the fleet must keep
// exactly the bytes that were signed.
func (o *session) randomBundle() []byte {
	queues := map[string]any{"default": o.randomQueue()}
	for range o.rng.IntN(4) {
		queues[string(rune('a'+o.rng.IntN(26)))+"-queue"] = o.randomQueue()
	}
	doc := map[string]any{"queues": queues, "limits": map[string]int{"scan": 1 + o.rng.IntN(200)},
		"weights": map[string]int{"drill": 1 + o.rng.IntN(9)}}
	raw, err := json.MarshalIndent(doc, strings.Repeat("\t", o.rng.IntN(2)), strings.Repeat(" ", o.rng.IntN(5)))
	if err != nil {
		panic(err) // cannot happen: maps of strings and numbers
	}
	return append(raw, strings.Repeat("\n", o.rng.IntN(3))...)
}
