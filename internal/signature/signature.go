// Package signature implements the operators' signatures: Ed25519 keys and key files, the texts that are signed, and
// the verification. A text contains every parameter of its order, so that a signature is valid for that order only. The
// texts and the format of key files never change: signatures are stored in the replicated state, key files by the
// operators. The package does not know who is an operator; package command does.
//
// A signer calls Load, then Key.Sign with a text from texts.go; package command calls Verify with the same text.
package signature

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"os"

	"crosstide/internal/errs"
)

// Key is an operator's name and private key.
type Key struct {
	Name    string
	private ed25519.PrivateKey
}

// keyFile is the JSON of a key file; Private is the seed of 32 bytes in base64.
type keyFile struct {
	Name    string `json:"name"`
	Public  string `json:"public"`
	Private string `json:"private"`
}

// New generates a key for the operator with this name. Failures: Invalid (the name is empty), Internal.
func New(name string) (Key, error) {
	if name == "" {
		return Key{}, errs.Field(errs.Invalid, "name", "operator name must not be empty")
	}
	_, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return Key{}, errs.Wrap(err, errs.Internal, "generate a key")
	}
	return Key{name, private}, nil
}

// Load reads a key file written by Save. Failures: Disk, Malformed.
func Load(path string) (Key, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Key{}, errs.Wrap(err, errs.Disk, "key file")
	}
	var f keyFile
	if err := json.Unmarshal(data, &f); err != nil {
		return Key{}, errs.Wrap(err, errs.Malformed, "key file %s", path)
	}
	seed, err := base64.StdEncoding.DecodeString(f.Private)
	if err != nil || len(seed) != ed25519.SeedSize || f.Name == "" {
		return Key{}, errs.New(errs.Malformed, "key file %s: must have a name and a private key of %d bytes in base64",
			path, ed25519.SeedSize)
	}
	return Key{f.Name, ed25519.NewKeyFromSeed(seed)}, nil
}

// Save writes the key to a new file that only its owner can read. Failure: Disk, also if the file already exists.
func (k Key) Save(path string) error {
	seed := base64.StdEncoding.EncodeToString(k.private.Seed())
	data, err := json.MarshalIndent(keyFile{Name: k.Name, Public: k.Public(), Private: seed}, "", "  ")
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode the key")
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return errs.Wrap(err, errs.Disk, "key file")
	}
	if _, err := file.Write(append(data, '\n')); err != nil {
		_ = file.Close()
		return errs.Wrap(err, errs.Disk, "write %s", path)
	}
	return errs.Wrap(file.Close(), errs.Disk, "close %s", path)
}

// Public returns the public key in base64, as it is written in settings and bundles.
func (k Key) Public() string {
	return base64.StdEncoding.EncodeToString(k.private.Public().(ed25519.PublicKey))
}

// Sign returns the signature of a text in base64. Example:
//
//	sig := key.Sign(signature.Bundle(8, signature.Digest(body)))
func (k Key) Sign(text string) string {
	return base64.StdEncoding.EncodeToString(ed25519.Sign(k.private, []byte(text)))
}

// Verify reports whether sig is a signature of text that matches a public key. sig and the key are in base64.
func Verify(public, text, sig string) bool {
	key, err := base64.StdEncoding.DecodeString(public)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return false
	}
	raw, err := base64.StdEncoding.DecodeString(sig)
	return err == nil && ed25519.Verify(key, []byte(text), raw)
}

// Digest returns the SHA-256 of data in hex.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
