package search

import (
	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
)

// fieldSeparator can't occur in valid UTF-8, so different fields never hash the
// same input.
const fieldSeparator = "\xff"

// Fingerprint identifies searches that make servers do the same work. House,
// request id and deadline don't count.
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
