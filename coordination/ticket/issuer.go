// Package ticket issues and verifies signed tokens. A token names the only host
// incarnation that may run the reservation, the one that issued it.
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

// MaxTokenBytes is the maximum length of the tokens that Verify decodes.
const MaxTokenBytes = 512

const (
	// version is the format version, the first part of every token.
	version = "e1"
	// idBytes is the size of a ticket id: an 8-byte counter, which makes ids
	// unique in one incarnation, and 8 random bytes.
	idBytes = 16
	// claimsBytes is the size of the encoded claims without the host id: the ticket
	// id, the incarnation and the expiry.
	claimsBytes = idBytes + 8 + 8
)

// encoding is strict, so that a token isn't accepted in a second spelling that decodes
// to the same bytes.
var encoding = base64.RawURLEncoding.Strict()

// VerifyResult tells whether a token is valid, or why it isn't. The zero value is
// TokenValid.
type VerifyResult int

const (
	// TokenValid means that the token was signed with one of the keys of this host.
	TokenValid VerifyResult = iota
	// TokenMalformed means that the token isn't in the format of this version.
	TokenMalformed
	// TokenUnknownKey means that this host doesn't have the key that signed the token.
	// During a key rotation another host may have it.
	TokenUnknownKey
	// TokenBadSignature means that the signature doesn't match the claims.
	TokenBadSignature
)

// String describes the result in messages to callers.
func (r VerifyResult) String() string {
	switch r {
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
	// start has a monotonic clock reading, from which Now is measured.
	start time.Time
	keys  atomic.Pointer[[]Key]

	mu sync.Mutex
	// random generates the random part of ticket ids. It is guarded by mu.
	random *rand.Rand
	// issued counts the issued tickets. It is guarded by mu.
	issued uint64
}

// NewIssuer returns an issuer for the given host incarnation. The first key signs
// tokens, and all keys verify them.
func NewIssuer(host ebonyworks.HostID, incarnation ebonyworks.Incarnation, keys []Key, random *rand.Rand) (*Issuer, error) {
	if host == "" || len(host) > 128 {
		return nil, errors.New("host id of a ticket issuer must have 1 to 128 bytes")
	}
	issuer := &Issuer{host: host, incarnation: incarnation, start: time.Now(), random: random}
	if err := issuer.SetKeys(keys); err != nil {
		return nil, err
	}
	return issuer, nil
}

// SetKeys replaces all keys. Tokens that were signed with a key that is no longer in
// the list are rejected. After a rotation, the old key should therefore stay in the
// list, behind the new one, for at least the lifetime of a ticket plus the time for
// which outcomes can be queried.
func (i *Issuer) SetKeys(keys []Key) error {
	if len(keys) == 0 {
		return errors.New("at least one ticket key is needed")
	}
	for index, key := range keys {
		if key.secret == nil {
			return errors.Errorf("ticket key %d has no secret", index)
		}
		if _, found := findKey(keys[:index], key.id); found {
			return errors.Errorf("ticket key id %q is used twice", key.id)
		}
	}
	copied := append([]Key(nil), keys...)
	i.keys.Store(&copied)
	return nil
}

// Now returns the time that the expiry of tickets is compared with. It starts with
// the wall clock time and then follows the monotonic clock, so that a step of the
// wall clock neither extends nor shortens the lifetime of tickets.
func (i *Issuer) Now() time.Time {
	return i.start.Add(time.Since(i.start)).Round(0)
}

// Owns reports whether the ticket with the claims was issued by this host incarnation.
func (i *Issuer) Owns(claims ebonyworks.TicketClaims) bool {
	return claims.Host == i.host && claims.Incarnation == i.incarnation
}

// Issue returns a new signed token and its claims.
func (i *Issuer) Issue() (string, ebonyworks.TicketClaims) {
	claims := ebonyworks.TicketClaims{
		ID:          i.nextID(),
		Host:        i.host,
		Incarnation: i.incarnation,
		Expiry:      i.Now().Add(Lifetime),
	}
	return sign((*i.keys.Load())[0], claims), claims
}

// Verify returns the claims of a valid token. It doesn't check the expiry, which only
// the issuing host does, by its own clock.
func (i *Issuer) Verify(token string) (ebonyworks.TicketClaims, VerifyResult) {
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
	key, found := findKey(*i.keys.Load(), parts[1])
	if !found {
		return ebonyworks.TicketClaims{}, TokenUnknownKey
	}
	signed := token[:strings.LastIndexByte(token, '.')]
	if !hmac.Equal(signature, mac(key, signed)) {
		return ebonyworks.TicketClaims{}, TokenBadSignature
	}
	return claims, TokenValid
}

func (i *Issuer) nextID() ebonyworks.TicketID {
	var id [idBytes]byte
	i.mu.Lock()
	i.issued++
	binary.BigEndian.PutUint64(id[:8], i.issued)
	binary.BigEndian.PutUint64(id[8:], i.random.Uint64())
	i.mu.Unlock()
	return ebonyworks.TicketID(hex.EncodeToString(id[:]))
}

// sign returns the signed token. The signature covers the version and the key id too,
// so that neither can be replaced.
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

func findKey(keys []Key, id string) (Key, bool) {
	for _, key := range keys {
		if key.id == id {
			return key, true
		}
	}
	return Key{}, false
}
