// Package keyhash generates caller keys and computes their keyed hashes. The
// configuration holds only the hash of each key; the settings of the processes hold
// the hash secret.
package keyhash

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
)

// MinSecretBytes is the minimum length of a hash secret.
const MinSecretBytes = 16

// keyBytes is the number of random bytes in a caller key.
const keyBytes = 24

// Prefix starts every caller key, so that scanners detect keys in leaked text.
const Prefix = "smk_"

// Generate returns a new caller key: Prefix and keyBytes random bytes in base64url. It
// returns an error if the random source fails.
func Generate() (string, error) {
	b := make([]byte, keyBytes)
	if _, err := rand.Read(b); err != nil {
		return "", fmt.Errorf("keyhash: read random bytes: %w", err)
	}
	return Prefix + base64.RawURLEncoding.EncodeToString(b), nil
}

// Sum returns the HMAC-SHA256 of a caller key under secret, in hex.
func Sum(secret []byte, key string) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(key))
	return hex.EncodeToString(mac.Sum(nil))
}
