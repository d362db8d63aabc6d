package state

import (
	"cmp"
	"time"

	"crosstide/internal/account"
)

// The defaults of a party's settings.
const (
	DefaultReserve = time.Minute      // the run time that a start reserves
	DefaultWarn    = 10 * time.Minute // how long before the forecast exhaustion of its account a party is warned
)

// Party pays for the runs of its teams and queues from the account that has its name.
type Party struct {
	Teams   []string      `json:"teams,omitempty"`
	Queues  []string      `json:"queues,omitempty"`
	Price   account.Price `json:"price"`
	Reserve time.Duration `json:"reserve,omitempty"` // 0: DefaultReserve
	Warn    time.Duration `json:"warn,omitempty"`    // 0: DefaultWarn
}

// Window returns the run time that a start reserves in advance.
func (p Party) Window() time.Duration { return cmp.Or(p.Reserve, DefaultReserve) }

// WarnBefore returns the time before the forecast exhaustion of its account at which the party is warned.
func (p Party) WarnBefore() time.Duration { return cmp.Or(p.Warn, DefaultWarn) }

// PartyOf returns the party that pays for a team's jobs in a queue, or "" if none does. The party of the queue takes
// precedence over that of the team.
func (b *Bundle) PartyOf(queue, team string) string {
	if len(b.Parties) == 0 {
		return ""
	}
	return cmp.Or(b.PartyByQueue[queue], b.PartyByTeam[team])
}

// SetParties sets the parties of a bundle and derives PartyByQueue and PartyByTeam. No queue or team may belong to two
// parties.
func (b *Bundle) SetParties(parties map[string]Party) {
	b.Parties, b.PartyByQueue, b.PartyByTeam = parties, map[string]string{}, map[string]string{}
	for name, p := range parties {
		for _, queue := range p.Queues {
			b.PartyByQueue[queue] = name
		}
		for _, team := range p.Teams {
			b.PartyByTeam[team] = name
		}
	}
}
