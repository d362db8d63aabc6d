package store

import (
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/jobs"
)

// setSchema records the newest schema that a peer supports.
func (p *peers) setSchema(id string, schema jobs.Schema) {
	if peer := p.byID[id]; peer != nil {
		peer.schema = schema
	}
}

// MembersSupport reports whether every member, learners included, is known to support a schema: this node supports it,
// and so did the newest call that this node received from each other member. A node of a release without schemas
// supports only schema 0.
func (s *Store) MembersSupport(schema jobs.Schema) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.status.Members {
		if m.ID == s.id {
			continue
		}
		if p := s.peers.byID[m.ID]; p == nil || p.schema < schema {
			return false
		}
	}
	return schema <= jobs.NewestSchema
}

// checkJoinSchema rejects a node that does not support the schema in force: it would apply the same entries in another
// way. s.mu must be held. Failure: Conflict.
func (s *Store) checkJoinSchema(call internalapi.JoinCall) error {
	if inForce := s.live.JobTable.Schema; call.Schema < inForce {
		return errs.Field(errs.Conflict, "schema", "node %q supports schema %d, but %d is in force",
			call.ID, call.Schema, inForce)
	}
	return nil
}
