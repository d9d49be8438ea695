package ticket_test

import (
	"strconv"
	"testing"

	"github.com/ebonyworks/ebonyworks/coordination/ticket"
)

// BenchmarkTicket measures issuing and verifying with several keys; the token
// is signed with the first.
func BenchmarkTicket(b *testing.B) {
	for _, count := range []int{1, 2, 4} {
		var keys []ticket.Key
		for i := range count {
			keys = append(keys, key(b, "k"+strconv.Itoa(i), byte('a'+i)))
		}
		issuer := office(b, keys...)
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
