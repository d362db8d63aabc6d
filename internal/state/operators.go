package state

// Operators are the operators whose signatures count: name to Ed25519 public key in base64 (package signature).
type Operators map[string]string
