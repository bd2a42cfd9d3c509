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

// ErrInvalidKey is returned for an API key that is malformed, unknown or
// withdrawn.
var ErrInvalidKey = errors.New("key is not in force")

// NewKey generates an API key. It returns the token that clients present,
// and the key to add by a release note, which holds only a digest of the
// secret.
func NewKey(id, team string) (token string, key Key, err error) {
	var secret [secretBytes]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return "", Key{}, errors.Wrap(err, "generate secret")
	}
	encoded := base64.RawURLEncoding.EncodeToString(secret[:])
	sum := sha256.Sum256([]byte(encoded))
	return keyPrefix + "." + id + "." + encoded, Key{
		ID:     id,
		Team:   team,
		Digest: hex.EncodeToString(sum[:]),
	}, nil
}

// Authenticate returns the key that the token belongs to, or ErrInvalidKey.
// The digests are compared in constant time.
func (s *State) Authenticate(token string) (Key, error) {
	parts := strings.SplitN(token, ".", 3)
	if len(parts) != 3 || parts[0] != keyPrefix {
		return Key{}, ErrInvalidKey
	}
	key, ok := s.Keys[parts[1]]
	sum := sha256.Sum256([]byte(parts[2]))
	digest := hex.EncodeToString(sum[:])
	if subtle.ConstantTimeCompare([]byte(digest), []byte(key.Digest)) != 1 || !ok {
		return Key{}, ErrInvalidKey
	}
	return key, nil
}
