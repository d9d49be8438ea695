package ticket_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/ticket"
)

func newKey(t testing.TB, id string, fill byte) ticket.Key {
	t.Helper()
	created, err := ticket.NewKey(id, bytes.Repeat([]byte{fill}, ticket.MinSecretBytes))
	require.NoError(t, err)
	return created
}

func newIssuer(t testing.TB, keys ...ticket.Key) *ticket.Issuer {
	t.Helper()
	created, err := ticket.NewIssuer("entry-1", 7, keys, rand.New(rand.NewPCG(1, 2)))
	require.NoError(t, err)
	return created
}

// Guards against accepted tokens that are forged or altered, and against removed keys
// that still verify.
func TestVerify(t *testing.T) {
	issuer := newIssuer(t, newKey(t, "k1", 'a'))
	token, claims := issuer.Issue()
	parts := strings.Split(token, ".")
	altered := func(part int, text string) string {
		changed := append([]string(nil), parts...)
		changed[part] = text
		return strings.Join(changed, ".")
	}
	flipped := parts[2][:5] + map[bool]string{true: "B", false: "A"}[parts[2][5] == 'A'] + parts[2][6:]
	cases := []struct {
		name  string
		token string
		keys  []ticket.Key
		want  ticket.VerifyResult
	}{
		{"genuine", token, []ticket.Key{newKey(t, "k1", 'a')}, ticket.TokenValid},
		{"older key still verifies", token, []ticket.Key{newKey(t, "k2", 'b'), newKey(t, "k1", 'a')}, ticket.TokenValid},
		{"removed key", token, []ticket.Key{newKey(t, "k2", 'b')}, ticket.TokenUnknownKey},
		{"other secret", token, []ticket.Key{newKey(t, "k1", 'b')}, ticket.TokenBadSignature},
		{"altered claims", altered(2, flipped), []ticket.Key{newKey(t, "k1", 'a')}, ticket.TokenBadSignature},
		{"exchanged key id", altered(1, "k2"), []ticket.Key{newKey(t, "k2", 'a')}, ticket.TokenBadSignature},
		{"other version", altered(0, "e2"), []ticket.Key{newKey(t, "k1", 'a')}, ticket.TokenMalformed},
		{"short signature", altered(3, "AAAA"), []ticket.Key{newKey(t, "k1", 'a')}, ticket.TokenMalformed},
		{"line break", token + "\n", []ticket.Key{newKey(t, "k1", 'a')}, ticket.TokenMalformed},
		{"empty", "", []ticket.Key{newKey(t, "k1", 'a')}, ticket.TokenMalformed},
		{"too long", token + strings.Repeat("A", ticket.MaxTokenBytes), []ticket.Key{newKey(t, "k1", 'a')}, ticket.TokenMalformed},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			require.NoError(t, issuer.SetKeys(test.keys))
			got, result := issuer.Verify(test.token)
			assert.Equal(t, test.want, result)
			if result == ticket.TokenValid {
				assert.True(t, issuer.Owns(got))
				assert.Equal(t, claims.ID, got.ID)
				assert.True(t, claims.Expiry.Equal(got.Expiry))
			}
		})
	}
}

// Guards against duplicate ticket ids and against a wrong lifetime.
func TestIssue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		issuer := newIssuer(t, newKey(t, "k1", 'a'))
		_, first := issuer.Issue()
		time.Sleep(time.Second)
		_, second := issuer.Issue()
		assert.NotEqual(t, first.ID, second.ID)
		assert.Equal(t, ticket.Lifetime, second.Expiry.Sub(issuer.Now()))
		assert.Equal(t, time.Second, second.Expiry.Sub(first.Expiry))
	})
}

// Guards against key secrets in logs and error messages.
func TestSecretsAreNotPrinted(t *testing.T) {
	secret := bytes.Repeat([]byte{'z'}, ticket.MinSecretBytes)
	created, err := ticket.NewKey("k1", secret)
	require.NoError(t, err)
	wrapped := struct{ inner ticket.Key }{created}
	_, duplicate := ticket.NewIssuer("entry-1", 1, []ticket.Key{created, created}, rand.New(rand.NewPCG(1, 2)))
	_, short := ticket.NewKey("k1", secret[:10])
	text := fmt.Sprintf("%v %+v %#v %s %x %v %+v %v %v %+v", created, created, created, created, created, wrapped, newIssuer(t, created), duplicate, short, []ticket.Key{created})
	assert.NotContains(t, text, "zzzz")
	assert.NotContains(t, text, "122 122")
	assert.NotContains(t, text, "7a7a")
	assert.NotContains(t, text, "0x7a, 0x7a")
}

// fixedToken was generated outside this package with the id "k1" and a secret of 32
// times "a". It pins the token format, because hosts of different versions accept each
// other's tokens.
const fixedToken = "e1.k1.AAECAwQFBgcICQoLDA0ODwAAAAAAAAAHGPridpO0AABlbnRyeS0x.U" +
	"CwYOPz5g1ICXk5NG6bEdgdNC5rGIUpFCHU-1Gn4OEg"

// Guards against an incompatible change of the token format, against panics on tokens
// from the network, and against accepted tokens that no host has signed.
func FuzzVerify(f *testing.F) {
	issuer := newIssuer(f, newKey(f, "k1", 'a'))
	claims, result := issuer.Verify(fixedToken)
	require.Equal(f, ticket.TokenValid, result)
	require.Equal(f, ebonyworks.TicketClaims{ID: "000102030405060708090a0b0c0d0e0f", Host: "entry-1", Incarnation: 7, Expiry: time.Unix(1_800_000_000, 0)}, claims)
	f.Add(fixedToken)
	f.Add("e1.k1..")
	f.Fuzz(func(t *testing.T, text string) {
		if _, result := issuer.Verify(text); result == ticket.TokenValid {
			assert.Equal(t, fixedToken, text)
		}
	})
}
