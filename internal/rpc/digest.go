package rpc

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// Digest returns the SHA-256 of parts in hexadecimal, each part with its length before it. It tells a call that is sent
// again from a different one under the same name.
func Digest(parts ...[]byte) string {
	sum := sha256.New()
	for _, part := range parts {
		sum.Write(strconv.AppendInt(nil, int64(len(part)), 10))
		sum.Write([]byte{'\n'})
		sum.Write(part)
	}
	return hex.EncodeToString(sum.Sum(nil))
}
