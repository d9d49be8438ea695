package ticket

import (
	"fmt"
	"io"

	"github.com/go-faster/errors"
)

// MinSecretBytes is the shortest secret that NewKey accepts; it is the output
// size of HMAC-SHA256.
const MinSecretBytes = 32

// maxKeyIDBytes is the maximum length of a key id, which is part of every token.
const maxKeyIDBytes = 32

// Key signs and verifies tokens. It never appears with its secret in formatted output.
type Key struct {
	id string
	// secret is a pointer because fmt prints nested pointers as addresses. Otherwise
	// the secret would be printed where a Key is an unexported field of a struct, since
	// fmt doesn't call Format there.
	secret *[]byte
}

// NewKey returns a key with a public id, which has 1 to 32 characters of A-Z, a-z, 0-9,
// "_" and "-". An id must not be reused with another secret.
func NewKey(id string, secret []byte) (Key, error) {
	if !validKeyID(id) {
		return Key{}, errors.New("ticket key id must have 1 to 32 characters of A-Z, a-z, 0-9, _ and -")
	}
	if len(secret) < MinSecretBytes {
		return Key{}, errors.Errorf("secret of ticket key %q has %d bytes, want at least %d", id, len(secret), MinSecretBytes)
	}
	copied := append([]byte(nil), secret...)
	return Key{id: id, secret: &copied}, nil
}

// ID returns the public id of the key.
func (k Key) ID() string { return k.id }

// Format implements fmt.Formatter. It writes only the id of the key, for every verb.
func (k Key) Format(state fmt.State, _ rune) {
	_, _ = io.WriteString(state, "ticket key "+k.id)
}

func validKeyID(id string) bool {
	if id == "" || len(id) > maxKeyIDBytes {
		return false
	}
	for _, c := range []byte(id) {
		letter := c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '_' && c != '-' {
			return false
		}
	}
	return true
}
