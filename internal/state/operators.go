package state

// Operators maps the names of the operators whose signatures are accepted to their Ed25519 public keys in base64
// (package signature).
type Operators map[string]string
