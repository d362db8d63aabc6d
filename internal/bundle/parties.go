package bundle

import (
	"slices"
	"time"

	"crosstide/internal/account"
	"crosstide/internal/config"
	"crosstide/internal/state"
)

// Bounds of a party's reserve and warn durations.
const (
	minReserve = 100 * time.Millisecond
	maxReserve = 24 * time.Hour
)

// readParties reads the parties with their prices, teams and queues. A team or queue has at most one party.
func readParties(r *config.Reader, b *state.Bundle) {
	parties := map[string]state.Party{}
	r.Object("parties", func(r *config.Reader) {
		teams, queues := map[string]string{}, map[string]string{}
		names := slices.Clone(r.Names())
		slices.Sort(names)
		for _, name := range names {
			checkName(r, name)
			p := state.Party{}
			r.Object(name, func(r *config.Reader) { readParty(r, &p) })
			for _, queue := range p.Queues {
				if _, ok := b.Queues[queue]; !ok {
					r.Reject(name+".queues", "unknown queue %q", queue)
				}
				claim(r, name+".queues", queue, name, queues)
			}
			for _, team := range p.Teams {
				claim(r, name+".teams", team, name, teams)
			}
			parties[name] = p
		}
	})
	if len(parties) > 0 {
		b.SetParties(parties)
	}
}

func readParty(r *config.Reader, p *state.Party) {
	readNames(r, "teams", &p.Teams)
	readNames(r, "queues", &p.Queues)
	r.Require("price")
	r.Object("price", func(r *config.Reader) {
		p.Price.Core = readPrice(r, "core")
		p.Price.GPU = readPrice(r, "gpu")
		p.Price.Memory = readPrice(r, "memory")
	})
	r.Duration("reserve", &p.Reserve, minReserve, maxReserve)
	r.Duration("warn", &p.Warn, time.Second, maxReserve)
}

func readPrice(r *config.Reader, field string) int64 {
	n := 0
	r.Int(field, &n, 0, account.MaxPrice)
	return int64(n)
}

// claim records in payers that a party pays for a team or queue, or rejects the field if another party does.
func claim(r *config.Reader, field, teamOrQueue, party string, payers map[string]string) {
	if other, ok := payers[teamOrQueue]; ok {
		r.Reject(field, "%q is already paid for by %q", teamOrQueue, other)
		return
	}
	payers[teamOrQueue] = party
}
