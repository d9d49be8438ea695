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

func key(t testing.TB, id string, fill byte) ticket.Key {
	t.Helper()
	made, err := ticket.NewKey(id, bytes.Repeat([]byte{fill}, ticket.MinSecretBytes))
	require.NoError(t, err)
	return made
}

func office(t testing.TB, keys ...ticket.Key) *ticket.Issuer {
	t.Helper()
	made, err := ticket.NewIssuer("entry-1", 7, keys, rand.New(rand.NewPCG(1, 2)))
	require.NoError(t, err)
	return made
}

// Guards against forged or altered tokens and against keys that stay valid
// after their removal.
func TestVerify(t *testing.T) {
	issuer := office(t, key(t, "k1", 'a'))
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
		{"genuine", token, []ticket.Key{key(t, "k1", 'a')}, ticket.TokenValid},
		{"older key still verifies", token, []ticket.Key{key(t, "k2", 'b'), key(t, "k1", 'a')}, ticket.TokenValid},
		{"removed key", token, []ticket.Key{key(t, "k2", 'b')}, ticket.TokenUnknownKey},
		{"other secret", token, []ticket.Key{key(t, "k1", 'b')}, ticket.TokenBadSignature},
		{"altered claims", altered(2, flipped), []ticket.Key{key(t, "k1", 'a')}, ticket.TokenBadSignature},
		{"exchanged key id", altered(1, "k2"), []ticket.Key{key(t, "k2", 'a')}, ticket.TokenBadSignature},
		{"other version", altered(0, "e2"), []ticket.Key{key(t, "k1", 'a')}, ticket.TokenMalformed},
		{"short signature", altered(3, "AAAA"), []ticket.Key{key(t, "k1", 'a')}, ticket.TokenMalformed},
		{"line break", token + "\n", []ticket.Key{key(t, "k1", 'a')}, ticket.TokenMalformed},
		{"empty", "", []ticket.Key{key(t, "k1", 'a')}, ticket.TokenMalformed},
		{"too long", token + strings.Repeat("A", ticket.MaxTokenBytes), []ticket.Key{key(t, "k1", 'a')}, ticket.TokenMalformed},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			require.NoError(t, issuer.SetKeys(test.keys))
			got, fault := issuer.Verify(test.token)
			assert.Equal(t, test.want, fault)
			if fault == ticket.TokenValid {
				assert.True(t, issuer.Owns(got))
				assert.Equal(t, claims.ID, got.ID)
				assert.True(t, claims.Expiry.Equal(got.Expiry))
			}
		})
	}
}

// Guards against two tickets with one id and against a wrong lifetime.
func TestIssue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		issuer := office(t, key(t, "k1", 'a'))
		_, first := issuer.Issue()
		time.Sleep(time.Second)
		_, second := issuer.Issue()
		assert.NotEqual(t, first.ID, second.ID)
		assert.Equal(t, ticket.Lifetime, second.Expiry.Sub(issuer.Now()))
		assert.Equal(t, time.Second, second.Expiry.Sub(first.Expiry))
	})
}

// Guards against secrets in logs and errors.
func TestSecretsStayHidden(t *testing.T) {
	secret := bytes.Repeat([]byte{'z'}, ticket.MinSecretBytes)
	made, err := ticket.NewKey("k1", secret)
	require.NoError(t, err)
	holder := struct{ inner ticket.Key }{made}
	_, duplicate := ticket.NewIssuer("entry-1", 1, []ticket.Key{made, made}, rand.New(rand.NewPCG(1, 2)))
	_, short := ticket.NewKey("k1", secret[:10])
	text := fmt.Sprintf("%v %+v %#v %s %x %v %+v %v %v %+v", made, made, made, made, made, holder, office(t, made), duplicate, short, []ticket.Key{made})
	assert.NotContains(t, text, "zzzz")
	assert.NotContains(t, text, "122 122")
	assert.NotContains(t, text, "7a7a")
	assert.NotContains(t, text, "0x7a, 0x7a")
}

// fixedToken was made outside this package with the key "k1" of 32 times "a".
// It pins the format, which hosts of different versions share.
const fixedToken = "e1.k1.AAECAwQFBgcICQoLDA0ODwAAAAAAAAAHGPridpO0AABlbnRyeS0x.U" +
	"CwYOPz5g1ICXk5NG6bEdgdNC5rGIUpFCHU-1Gn4OEg"

// Guards against a changed format, against panics on tokens from the network,
// and against accepted tokens that no host has signed.
func FuzzVerify(f *testing.F) {
	issuer := office(f, key(f, "k1", 'a'))
	claims, fault := issuer.Verify(fixedToken)
	require.Equal(f, ticket.TokenValid, fault)
	require.Equal(f, ebonyworks.TicketClaims{ID: "000102030405060708090a0b0c0d0e0f", Host: "entry-1", Incarnation: 7, Expiry: time.Unix(1_800_000_000, 0)}, claims)
	f.Add(fixedToken)
	f.Add("e1.k1..")
	f.Fuzz(func(t *testing.T, text string) {
		if _, fault := issuer.Verify(text); fault == ticket.TokenValid {
			assert.Equal(t, fixedToken, text)
		}
	})
}
