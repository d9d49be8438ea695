package ticket_test

import (
	"strconv"
	"testing"

	"github.com/ebonyworks/ebonyworks/coordination/ticket"
)

// BenchmarkTicket measures Issue and Verify with several keys. The token is signed with
// the first one.
func BenchmarkTicket(b *testing.B) {
	for _, count := range []int{1, 2, 4} {
		var keys []ticket.Key
		for i := range count {
			keys = append(keys, newKey(b, "k"+strconv.Itoa(i), byte('a'+i)))
		}
		issuer := newIssuer(b, keys...)
		token, _ := issuer.Issue()
		b.Run("Issue/keys="+strconv.Itoa(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				issuer.Issue()
			}
			b.ReportMetric(float64(len(token)), "token-B")
		})
		b.Run("Verify/keys="+strconv.Itoa(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				issuer.Verify(token)
			}
		})
	}
}
