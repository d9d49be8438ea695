// Package ticket issues and verifies the signed tokens that name the one
// process incarnation that may run a reservation.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
)

// Lifetime is the time from the issue of a ticket to its expiry.
const Lifetime = 30 * time.Second

// MaxTokenBytes bounds the tokens that Verify decodes.
const MaxTokenBytes = 512

const (
	// version is the first part of every token.
	version = "e1"
	// idBytes is the size of a ticket id: an 8-byte counter, which makes ids
	// unique in one incarnation, and 8 random bytes.
	idBytes = 16
	// claimsBytes is the size of the claims without the host's name.
	claimsBytes = idBytes + 8 + 8
)

// encoding is strict, so that each token has only one accepted spelling.
var encoding = base64.RawURLEncoding.Strict()

// VerifyResult tells why a token isn't accepted. The zero value is FaultNone.
type VerifyResult int

const (
	// TokenValid means that the token is genuine.
	TokenValid VerifyResult = iota
	// TokenMalformed means that the token isn't in the format of this version.
	TokenMalformed
	// TokenUnknownKey means that this host doesn't have the key that signed
	// the token. During a change of keys another host may have it.
	TokenUnknownKey
	// TokenBadSignature means that the claims aren't those that were signed.
	TokenBadSignature
)

// String returns the fault in words.
func (f VerifyResult) String() string {
	switch f {
	case TokenValid:
		return "genuine"
	case TokenMalformed:
		return "malformed"
	case TokenUnknownKey:
		return "signed with an unknown key"
	default:
		return "bad signature"
	}
}

// Issuer issues and verifies tokens for one host incarnation. It is safe for
// concurrent use.
type Issuer struct {
	host        ebonyworks.HostID
	incarnation ebonyworks.Incarnation
	// start has a monotonic reading; Now is measured from it.
	start time.Time
	keys  atomic.Pointer[[]Key]

	mu sync.Mutex
	// random is guarded by mu.
	random *rand.Rand
	// issued counts the tickets; it is guarded by mu.
	issued uint64
}

// NewIssuer returns an office of the given host incarnation. The first key
// signs, and all keys verify.
func NewIssuer(host ebonyworks.HostID, incarnation ebonyworks.Incarnation, keys []Key, random *rand.Rand) (*Issuer, error) {
	if host == "" || len(host) > 128 {
		return nil, errors.New("host id of a ticket office must have 1 to 128 bytes")
	}
	office := &Issuer{host: host, incarnation: incarnation, start: time.Now(), random: random}
	if err := office.SetKeys(keys); err != nil {
		return nil, err
	}
	return office, nil
}

// SetKeys replaces all keys. Tokens of a removed key are no longer accepted,
// so a removed key should be kept as a later one for at least the lifetime of
// a ticket and the time for which outcomes can be queried.
func (o *Issuer) SetKeys(keys []Key) error {
	if len(keys) == 0 {
		return errors.New("at least one ticket key is needed")
	}
	for i, key := range keys {
		if key.secret == nil {
			return errors.Errorf("ticket key %d has no secret", i)
		}
		if _, found := find(keys[:i], key.id); found {
			return errors.Errorf("ticket key id %q is used twice", key.id)
		}
	}
	copied := append([]Key(nil), keys...)
	o.keys.Store(&copied)
	return nil
}

// Now returns the time on the clock that judges expiry. It starts with the
// wall clock and then follows the monotonic clock, so a step of the wall
// clock neither extends nor ends tickets.
func (o *Issuer) Now() time.Time {
	return o.start.Add(time.Since(o.start)).Round(0)
}

// Owns reports whether the claims name this host and incarnation.
func (o *Issuer) Owns(claims ebonyworks.TicketClaims) bool {
	return claims.Host == o.host && claims.Incarnation == o.incarnation
}

// Issue returns a new token and its claims.
func (o *Issuer) Issue() (string, ebonyworks.TicketClaims) {
	claims := ebonyworks.TicketClaims{
		ID:          o.nextID(),
		Host:        o.host,
		Incarnation: o.incarnation,
		Expiry:      o.Now().Add(Lifetime),
	}
	return sign((*o.keys.Load())[0], claims), claims
}

// Verify returns the claims of a genuine token. It doesn't judge the expiry,
// which only the issuing host does.
func (o *Issuer) Verify(token string) (ebonyworks.TicketClaims, VerifyResult) {
	if len(token) > MaxTokenBytes || strings.ContainsAny(token, "\r\n") {
		return ebonyworks.TicketClaims{}, TokenMalformed
	}
	parts := strings.Split(token, ".")
	if len(parts) != 4 || parts[0] != version || !validKeyID(parts[1]) {
		return ebonyworks.TicketClaims{}, TokenMalformed
	}
	claims, ok := decode(parts[2])
	if !ok {
		return ebonyworks.TicketClaims{}, TokenMalformed
	}
	signature, err := encoding.DecodeString(parts[3])
	if err != nil || len(signature) != sha256.Size {
		return ebonyworks.TicketClaims{}, TokenMalformed
	}
	key, found := find(*o.keys.Load(), parts[1])
	if !found {
		return ebonyworks.TicketClaims{}, TokenUnknownKey
	}
	signed := token[:strings.LastIndexByte(token, '.')]
	if !hmac.Equal(signature, mac(key, signed)) {
		return ebonyworks.TicketClaims{}, TokenBadSignature
	}
	return claims, TokenValid
}

func (o *Issuer) nextID() ebonyworks.TicketID {
	var id [idBytes]byte
	o.mu.Lock()
	o.issued++
	binary.BigEndian.PutUint64(id[:8], o.issued)
	binary.BigEndian.PutUint64(id[8:], o.random.Uint64())
	o.mu.Unlock()
	return ebonyworks.TicketID(hex.EncodeToString(id[:]))
}

// sign covers version and key id too, so neither can be exchanged.
func sign(key Key, claims ebonyworks.TicketClaims) string {
	signed := version + "." + key.id + "." + encode(claims)
	return signed + "." + encoding.EncodeToString(mac(key, signed))
}

func mac(key Key, signed string) []byte {
	hash := hmac.New(sha256.New, *key.secret)
	hash.Write([]byte(signed))
	return hash.Sum(nil)
}

func encode(claims ebonyworks.TicketClaims) string {
	id, _ := hex.DecodeString(string(claims.ID))
	bytes := make([]byte, 0, claimsBytes+len(claims.Host))
	bytes = append(bytes, id...)
	bytes = binary.BigEndian.AppendUint64(bytes, uint64(claims.Incarnation))
	bytes = binary.BigEndian.AppendUint64(bytes, uint64(claims.Expiry.UnixNano()))
	bytes = append(bytes, claims.Host...)
	return encoding.EncodeToString(bytes)
}

func decode(text string) (ebonyworks.TicketClaims, bool) {
	bytes, err := encoding.DecodeString(text)
	if err != nil || len(bytes) <= claimsBytes {
		return ebonyworks.TicketClaims{}, false
	}
	expiry := int64(binary.BigEndian.Uint64(bytes[idBytes+8:]))
	return ebonyworks.TicketClaims{
		ID:          ebonyworks.TicketID(hex.EncodeToString(bytes[:idBytes])),
		Host:        ebonyworks.HostID(bytes[claimsBytes:]),
		Incarnation: ebonyworks.Incarnation(binary.BigEndian.Uint64(bytes[idBytes:])),
		Expiry:      time.Unix(0, expiry),
	}, true
}

func find(keys []Key, id string) (Key, bool) {
	for _, key := range keys {
		if key.id == id {
			return key, true
		}
	}
	return Key{}, false
}
