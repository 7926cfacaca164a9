// Package keyhash makes and checks caller keys. Configuration holds only a
// keyed hash of each key; the hash secret is in the settings of the processes.
package keyhash

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
)

// MinSecretBytes is the least length of a hash secret.
const MinSecretBytes = 16

const keyBytes = 24

// Prefix starts every caller key, so that keys are found in leaked text.
const Prefix = "smk_"

// Generate returns a new random caller key.
func Generate() (string, error) {
	b := make([]byte, keyBytes)
	if _, err := rand.Read(b); err != nil {
		return "", fmt.Errorf("keyhash: random: %w", err)
	}
	return Prefix + base64.RawURLEncoding.EncodeToString(b), nil
}

// Sum returns the hex form of the keyed hash of a caller key.
func Sum(secret []byte, key string) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(key))
	return hex.EncodeToString(mac.Sum(nil))
}
