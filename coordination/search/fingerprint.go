package search

import (
	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
)

// fieldSeparator can't occur in valid UTF-8, so searches with different fields never
// hash the same bytes.
const fieldSeparator = "\xff"

// Fingerprint returns the same value for searches that make servers do the same
// work. Customer, request id and deadline are left out.
func Fingerprint(search ebonyworks.Search) ebonyworks.Fingerprint {
	digest := xxhash.New()
	write := func(value string) {
		// xxhash never returns an error.
		_, _ = digest.WriteString(value)
		_, _ = digest.WriteString(fieldSeparator)
	}
	write(string(search.Route))
	write(search.Keys.From)
	write(search.Keys.To)
	for _, filter := range search.Filters {
		write(filter.Name)
		write(filter.Value)
	}
	return ebonyworks.Fingerprint(digest.Sum64())
}
