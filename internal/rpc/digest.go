package rpc

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// Digest returns the SHA-256 of parts in hexadecimal. Each part is preceded by its length, so that other parts of the
// same concatenation differ. By it a handler distinguishes a repeated call from another one under the same key.
func Digest(parts ...[]byte) string {
	sum := sha256.New()
	for _, part := range parts {
		sum.Write(strconv.AppendInt(nil, int64(len(part)), 10))
		sum.Write([]byte{'\n'})
		sum.Write(part)
	}
	return hex.EncodeToString(sum.Sum(nil))
}
