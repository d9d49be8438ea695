package configplan

import (
	"strings"
	"unicode/utf8"

	"github.com/ebonyworks/ebonyworks"
)

// DefaultAlphabet holds the characters of keys that a zero KeySpace expects.
const DefaultAlphabet = "0123456789abcdefghijklmnopqrstuvwxyz"

// boundLength is the number of characters that a bound of a range may have.
// Three characters of the default alphabet divide the keys into up to 46,656
// ranges.
const boundLength = 3

// KeySpace divides keys into ranges of equal size, on the assumption that the
// first characters of keys are spread evenly over the alphabet. Other keys
// have a range, too.
type KeySpace struct {
	// Alphabet holds at least two ASCII characters in increasing order. Empty means
	// DefaultAlphabet.
	Alphabet string
}

func (k KeySpace) alphabet() string {
	if k.Alphabet == "" {
		return DefaultAlphabet
	}
	return k.Alphabet
}

// valid reports whether the alphabet can be used to write bounds in order.
func (k KeySpace) valid() bool {
	alphabet := k.alphabet()
	for i := range len(alphabet) {
		if alphabet[i] >= utf8.RuneSelf || (i > 0 && alphabet[i] <= alphabet[i-1]) {
			return false
		}
	}
	return len(alphabet) >= 2
}

// capacity returns the greatest number of ranges.
func (k KeySpace) capacity() int {
	capacity := 1
	for range boundLength {
		capacity *= len(k.alphabet())
	}
	return capacity
}

// divide returns count ranges in increasing order that cover all keys.
func (k KeySpace) divide(count int) []ebonyworks.KeyRange {
	ranges := make([]ebonyworks.KeyRange, count)
	for i := 1; i < count; i++ {
		bound := k.bound(i * k.capacity() / count)
		ranges[i-1].To = bound
		ranges[i].From = bound
	}
	return ranges
}

// bound returns the number written with the alphabet, without trailing zeros.
func (k KeySpace) bound(number int) string {
	alphabet := k.alphabet()
	digits := make([]byte, boundLength)
	for i := range digits {
		digits[boundLength-1-i] = alphabet[number%len(alphabet)]
		number /= len(alphabet)
	}
	return strings.TrimRight(string(digits), alphabet[:1])
}
