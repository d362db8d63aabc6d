// Package codec decodes JSON that crosstide's own processes encoded: log entries, snapshots and calls between nodes.
// It uses a fast decoder because decoding delays service: a node decodes a thousand entries before it can serve, and a
// new leader decodes a call from each of its workers at the same time.
//
// The only function, Decode, validates nothing beyond the types. Bodies from clients, operators and workers are decoded
// elsewhere, by code that names the invalid field.
package codec

import (
	"github.com/segmentio/encoding/json"

	"crosstide/internal/errs"
)

// Decode decodes data into the value that into points to. The value keeps no reference to data. Failure: Malformed.
// Example:
//
//	var entry Entry
//	err := codec.Decode(data, &entry)
func Decode(data []byte, into any) error {
	return errs.Wrap(json.Unmarshal(data, into), errs.Malformed, "decode %T", into)
}
