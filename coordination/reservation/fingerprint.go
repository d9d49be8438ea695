package reservation

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
)

// bodyFingerprint returns a hash of the customer and the body that a ticket is used
// with. Request id and deadline aren't part of it, because a retry by the caller may
// change them.
func bodyFingerprint(reservation ebonyworks.Reservation) ebonyworks.Fingerprint {
	hash := xxhash.New()
	writeWithLength(hash, string(reservation.Customer))
	hashWork(hash, reservation)
	return ebonyworks.Fingerprint(hash.Sum64())
}

// workFingerprint returns a hash of what the server runs, which the quarantine uses
// to recognize requests that crash servers. It is the same for all customers and
// tickets.
func workFingerprint(reservation ebonyworks.Reservation) ebonyworks.Fingerprint {
	hash := xxhash.New()
	hashWork(hash, reservation)
	return ebonyworks.Fingerprint(hash.Sum64())
}

func hashWork(hash *xxhash.Digest, reservation ebonyworks.Reservation) {
	writeWithLength(hash, string(reservation.Route))
	writeWithLength(hash, reservation.Key)
	fields := slices.Clone(reservation.Fields)
	slices.SortFunc(fields, func(a, b ebonyworks.Field) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Value, b.Value))
	})
	for _, field := range fields {
		writeWithLength(hash, field.Name)
		writeWithLength(hash, field.Value)
	}
}

// writeWithLength hashes the length and the text. Without the length, the same bytes
// divided differently between neighboring texts would have the same hash.
func writeWithLength(hash *xxhash.Digest, text string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(text)))
	_, _ = hash.Write(length[:])
	_, _ = hash.WriteString(text)
}
