// Package codec decodes JSON that crosstide's own processes encoded: log entries, snapshots and calls between nodes.
// Its decoder is chosen for speed, as time to decode is time without service: a node decodes a thousand entries before
// it can serve, and a new leader a call of each of its workers at once.
//
// The package is one function, Decode, which validates nothing beyond the types. Bodies of clients, operators and
// workers are decoded elsewhere, by code that names the field at fault.
package codec

import (
	"github.com/segmentio/encoding/json"

	"crosstide/internal/errs"
)

// Decode decodes data into the value that into points to, which keeps no reference to data. Failure: Malformed.
// Example:
//
//	var entry Entry
//	err := codec.Decode(data, &entry)
func Decode(data []byte, into any) error {
	return errs.Wrap(json.Unmarshal(data, into), errs.Malformed, "decode %T", into)
}
