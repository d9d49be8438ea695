package reservation

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
)

// bodyFingerprint identifies the body that a ticket is used with. Request id
// and deadline aren't part of it, since a resend may change them.
func bodyFingerprint(reservation ebonyworks.Reservation) ebonyworks.Fingerprint {
	hash := xxhash.New()
	write(hash, string(reservation.Customer))
	writeWork(hash, reservation)
	return ebonyworks.Fingerprint(hash.Sum64())
}

// workFingerprint identifies what a server runs, for the inspection. It is
// the same for all callers and tickets.
func workFingerprint(reservation ebonyworks.Reservation) ebonyworks.Fingerprint {
	hash := xxhash.New()
	writeWork(hash, reservation)
	return ebonyworks.Fingerprint(hash.Sum64())
}

func writeWork(hash *xxhash.Digest, reservation ebonyworks.Reservation) {
	write(hash, string(reservation.Route))
	write(hash, reservation.Key)
	fields := slices.Clone(reservation.Fields)
	slices.SortFunc(fields, func(a, b ebonyworks.Field) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Value, b.Value))
	})
	for _, field := range fields {
		write(hash, field.Name)
		write(hash, field.Value)
	}
}

// write adds the length too, so that neighboring texts can't be confused.
func write(hash *xxhash.Digest, text string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(text)))
	_, _ = hash.Write(length[:])
	_, _ = hash.WriteString(text)
}
