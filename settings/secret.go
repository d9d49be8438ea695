package settings

import (
	"bytes"
	"fmt"
	"slices"
)

const redacted = "[redacted]"

// Secret is a value that is never printed. Formatting and encoding it gives
// "[redacted]". The zero value is an empty secret.
type Secret struct {
	// Two pointers keep the bytes out of the output when fmt prints a struct
	// that holds the secret in an unexported field, where it calls no method:
	// it follows the first pointer if the verb doesn't suit, but not the second.
	value *secretValue
}

type secretValue struct {
	bytes *[]byte
}

// NewSecret returns a secret with a copy of the bytes.
func NewSecret(value []byte) Secret {
	copied := slices.Clone(value)
	return Secret{value: &secretValue{bytes: &copied}}
}

// Reveal returns a copy of the bytes.
func (s Secret) Reveal() []byte {
	if s.value == nil {
		return nil
	}
	return slices.Clone(*s.value.bytes)
}

// Equal reports whether both secrets hold the same bytes.
func (s Secret) Equal(other Secret) bool {
	return bytes.Equal(s.Reveal(), other.Reveal())
}

// String returns a fixed text.
func (Secret) String() string { return redacted }

// Format writes a fixed text for every verb.
func (Secret) Format(state fmt.State, _ rune) {
	_, _ = state.Write([]byte(redacted))
}

// MarshalText returns a fixed text.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }
