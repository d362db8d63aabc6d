package state

import (
	"cmp"
	"time"

	"crosstide/internal/account"
)

// The defaults of a party's settings.
const (
	DefaultReserve = time.Minute      // the window that a start reserves
	DefaultWarn    = 10 * time.Minute // how long before the forecast exhaustion of its account a party is warned
)

// Party pays for the runs of teams and queues, out of the account of its name.
type Party struct {
	Teams   []string      `json:"teams,omitempty"`
	Queues  []string      `json:"queues,omitempty"`
	Price   account.Price `json:"price"`
	Reserve time.Duration `json:"reserve,omitempty"` // 0: DefaultReserve
	Warn    time.Duration `json:"warn,omitempty"`    // 0: DefaultWarn
}

// Window returns the time that a start pays in advance.
func (p Party) Window() time.Duration { return cmp.Or(p.Reserve, DefaultReserve) }

// WarnBefore returns the time before the forecast exhaustion of its account at which the party is warned.
func (p Party) WarnBefore() time.Duration { return cmp.Or(p.Warn, DefaultWarn) }

// PartyOf returns the party that pays for a queue and team, "" if none does. A party of the queue goes before one of
// the team.
func (b *Bundle) PartyOf(queue, team string) string {
	if len(b.Parties) == 0 {
		return ""
	}
	return cmp.Or(b.PartyByQueue[queue], b.PartyByTeam[team])
}

// SetParties puts parties into a bundle and derives PartyByQueue and PartyByTeam. No queue or team may be in two.
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
