package rpc

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// Digest returns the SHA-256 of parts in hexadecimal. Each part is preceded by its length, so that different parts with
// the same concatenation have different digests. Handlers use it to distinguish a repeated call from a different call
// with the same key.
func Digest(parts ...[]byte) string {
	sum := sha256.New()
	for _, part := range parts {
		sum.Write(strconv.AppendInt(nil, int64(len(part)), 10))
		sum.Write([]byte{'\n'})
		sum.Write(part)
	}
	return hex.EncodeToString(sum.Sum(nil))
}
