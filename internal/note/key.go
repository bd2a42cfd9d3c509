package note

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"github.com/go-faster/errors"
)

const (
	secretBytes = 32
	keyPrefix   = "jw"
)

// ErrKey is returned for a key that is malformed, unknown or withdrawn.
var ErrKey = errors.New("key is not in force")

// NewSecret returns a fresh key as callers show it, and the entry for a
// release note, which holds only the digest of its secret.
func NewSecret(id, team string) (shown string, key Key, err error) {
	var secret [secretBytes]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return "", Key{}, errors.Wrap(err, "make secret")
	}
	text := base64.RawURLEncoding.EncodeToString(secret[:])
	sum := sha256.Sum256([]byte(text))
	return keyPrefix + "." + id + "." + text, Key{
		ID:     id,
		Team:   team,
		Digest: hex.EncodeToString(sum[:]),
	}, nil
}

// Authenticate returns the key in force that the caller showed, or ErrKey.
// The digests are compared in constant time.
func (s *State) Authenticate(shown string) (Key, error) {
	parts := strings.SplitN(shown, ".", 3)
	if len(parts) != 3 || parts[0] != keyPrefix {
		return Key{}, ErrKey
	}
	key, ok := s.Keys[parts[1]]
	sum := sha256.Sum256([]byte(parts[2]))
	given := hex.EncodeToString(sum[:])
	if subtle.ConstantTimeCompare([]byte(given), []byte(key.Digest)) != 1 || !ok {
		return Key{}, ErrKey
	}
	return key, nil
}
