// Package codec reads JSON that this project's own processes wrote: entries of the log, snapshots and the calls between
// nodes. A node that restarts reads a thousand entries before it can serve, and a leader reads one call for each of its
// workers at once when it takes over, so that the time of reading is time without service.
//
// What clients, operators and workers send is read elsewhere, by readers that name the field at fault.
package codec

import (
	"github.com/segmentio/encoding/json"

	"crosstide/internal/errs"
)

// Decode reads data into the value that into points to. It keeps nothing of data. Failure: Malformed. Example:
//
//	var entry Entry
//	err := codec.Decode(data, &entry)
func Decode(data []byte, into any) error {
	return errs.Wrap(json.Unmarshal(data, into), errs.Malformed, "decode %T", into)
}
