package jobs

import "crosstide/internal/errs"

// Schema is the version of the rules by which a table applies changes. Nodes of two releases may apply the same log
// while a fleet is upgraded, so a table follows the rules of an earlier release until UpgradeSchema is applied.
type Schema int

// The schemas. An empty table has schema 0.
const (
	// SchemaLocations: jobs keep the location to which they were submitted, and the queue that served them last.
	SchemaLocations Schema = 1

	// NewestSchema is the newest schema that this release supports.
	NewestSchema = SchemaLocations
)

// UpgradeSchema puts a schema in force. A schema that is not above the one in force changes nothing. Failure: Invalid
// (this release does not support the schema).
func (t *Table) UpgradeSchema(c UpgradeSchema) error {
	if c.Schema > NewestSchema {
		return errs.Field(errs.Invalid, "schema", "must be at most %d, is %d", NewestSchema, c.Schema)
	}
	t.Schema = max(t.Schema, c.Schema)
	return nil
}
