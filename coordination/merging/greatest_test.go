package merging_test

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks/coordination/merging"
)

// Guards against answers that lose duplicates, include incomplete trailing records, or
// aren't in descending order, by a comparison with a sort of all records.
func TestGreatest(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		var parts [][]byte
		var records [][]byte
		for range random.IntN(6) {
			var part []byte
			for range random.IntN(8) {
				record := make([]byte, merging.RecordSize)
				record[0], record[15] = byte(random.IntN(3)), byte(random.IntN(3))
				part = append(part, record...)
				records = append(records, record)
			}
			parts = append(parts, append(part, make([]byte, random.IntN(merging.RecordSize))...))
		}
		limit := random.IntN(12)
		slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(records[:min(limit, len(records))], nil)
		assert.True(t, bytes.Equal(want, merging.Greatest(parts, limit)))
	}
}
