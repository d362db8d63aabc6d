package bundle

import (
	"maps"
	"slices"
	"time"

	"crosstide/internal/account"
	"crosstide/internal/config"
	"crosstide/internal/state"
)

// Bounds of a party's settings.
const (
	shortestReserve = 100 * time.Millisecond
	longestReserve  = 24 * time.Hour
)

// parties reads who pays for which teams and queues, and what. A team or queue has one party at most.
func parties(r *config.Reader, b *state.Bundle) {
	found := map[string]state.Party{}
	r.Object("parties", func(r *config.Reader) {
		teams, queues := map[string]string{}, map[string]string{}
		names := slices.Clone(r.Names())
		slices.Sort(names)
		for _, name := range names {
			key(r, name)
			p := state.Party{}
			r.Object(name, func(r *config.Reader) { party(r, &p) })
			for _, queue := range p.Queues {
				if _, ok := b.Queues[queue]; !ok {
					r.Wrong(name+".queues", "there is no queue %q", queue)
				}
				once(r, name+".queues", queue, name, queues)
			}
			for _, team := range p.Teams {
				once(r, name+".teams", team, name, teams)
			}
			found[name] = p
		}
	})
	if len(found) > 0 {
		b.SetParties(maps.Clone(found))
	}
}

func party(r *config.Reader, p *state.Party) {
	list(r, "teams", &p.Teams)
	list(r, "queues", &p.Queues)
	r.Need("price")
	r.Object("price", func(r *config.Reader) {
		p.Price.Core = price(r, "core")
		p.Price.GPU = price(r, "gpu")
		p.Price.Memory = price(r, "memory")
	})
	r.Duration("reserve", &p.Reserve, shortestReserve, longestReserve)
	r.Duration("warn", &p.Warn, time.Second, longestReserve)
}

func price(r *config.Reader, field string) int64 {
	n := 0
	r.Int(field, &n, 0, account.MaxPrice)
	return int64(n)
}

// once makes it a mistake that a second party pays for the same.
func once(r *config.Reader, field, what, party string, taken map[string]string) {
	if other, ok := taken[what]; ok {
		r.Wrong(field, "%q is paid for by %q already", what, other)
		return
	}
	taken[what] = party
}
