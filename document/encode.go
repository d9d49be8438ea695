package document

import (
	"bytes"
	"encoding/json"
)

// Encode returns the struct as indented JSON with a final line feed. The
// result depends only on the value.
func Encode(value any) ([]byte, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
