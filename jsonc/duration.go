package jsonc

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as a string, such as "6ms".
type Duration time.Duration

// MarshalText returns the duration in the form of [time.Duration.String].
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses the duration with [time.ParseDuration].
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("must be a duration such as \"6ms\", not %q", text)
	}
	*d = Duration(value)
	return nil
}
