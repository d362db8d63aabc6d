package quorum

import (
	"cmp"
	"slices"
)

// eligible tells whether the node may campaign: a voter of the set in force, or of one before it that may still be
// the committed one. The latter matters when only this node has the entry that removes it: nobody else can win.
// It counts by the set in force also then, that is without itself.
func (c *Core) eligible() bool {
	return !c.hard.Blank && slices.ContainsFunc(c.configurations, func(f configuration) bool { return voter(f.members, c.cfg.ID) })
}

// loyal tells whether a live leader was heard within Election; then other candidates are refused.
func (c *Core) loyal() bool { return c.role == Leader || c.now < c.heard+c.cfg.Election }

// majority gives the highest value that a majority of the voters reaches.
func majority[T cmp.Ordered](ms []Member, of func(id string) T) (out T) {
	var room [9]T
	vs := room[:0]
	for _, m := range ms {
		if !m.Learner {
			vs = append(vs, of(m.ID))
		}
	}
	if len(vs) == 0 {
		return out
	}
	slices.Sort(vs)
	return vs[(len(vs)-1)/2]
}

// won tells whether a majority granted.
func (c *Core) won() bool {
	return majority(c.members(), func(id string) int {
		if c.granted[id] {
			return 1
		}
		return 0
	}) == 1
}

// sound asks who would vote for this node.
func (c *Core) sound() {
	c.role, c.leader, c.leaderAddr, c.force = PreCandidate, "", "", false
	c.granted = map[string]bool{c.cfg.ID: true}
	c.postpone()
	if c.won() {
		c.campaign(false)
		return
	}
	c.canvass(PreVote, c.hard.Term+1)
}

// campaign opens a term. The requests leave after the vote for itself is synced.
func (c *Core) campaign(force bool) {
	c.role, c.leader, c.force = Candidate, "", force
	c.hard.Term++
	c.hard.Vote, c.dirty = c.cfg.ID, true
	c.granted = map[string]bool{c.cfg.ID: true}
	c.postpone()
	if c.won() {
		c.reign(true)
		return
	}
	c.canvass(Vote, c.hard.Term)
}

func (c *Core) canvass(k Kind, term uint64) {
	for _, m := range c.members() {
		if m.ID == c.cfg.ID || m.Learner {
			continue
		}
		msg := Message{Kind: k, From: c.cfg.ID, To: m.ID, Term: term, PrevIndex: c.log.last(), PrevTerm: c.log.lastTerm(), Force: c.force}
		if k == Vote {
			c.after = append(c.after, msg)
		} else {
			c.out = append(c.out, msg)
		}
	}
}

// current tells whether the log of the sender of a (pre)vote holds at least ours.
func (c *Core) current(m Message) bool {
	t := c.log.lastTerm()
	return m.PrevTerm > t || m.PrevTerm == t && m.PrevIndex >= c.log.last()
}

func (c *Core) onVote(m Message) {
	free := c.hard.Vote == "" && c.leader == "" || c.hard.Vote == m.From
	if !free || !c.current(m) {
		c.reply(m, Message{Kind: VoteReply, Reject: true})
		return
	}
	c.follow(c.hard.Term, c.leader)
	if c.hard.Vote != m.From {
		c.hard.Vote, c.dirty = m.From, true
	}
	c.postpone()
	c.reply(m, Message{Kind: VoteReply})
}
