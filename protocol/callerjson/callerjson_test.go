package callerjson_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/callerjson"
)

// Guards against invalid searches that are accepted, and against errors that don't
// say what is invalid.
func TestInvalidSearches(t *testing.T) {
	cases := []struct{ name, body, message string }{
		{"empty body", ``, "empty"},
		{"truncated body", `{"Route":"r"`, "unexpected EOF"},
		{"not an object", `[]`, "must not be an array"},
		{"unknown field", `{"Route":"r","House":"h","Color":1}`, "Color: is not a known field"},
		{"trailing data", `{"Route":"r","House":"h"} {}`, "after top-level value"},
		{"repeated field", `{"Route":"r","Route":"s","House":"h"}`, "duplicate"},
		{"wrong case", `{"route":"r","House":"h"}`, "route: is not a known field"},
		{"invalid UTF-8", "{\"Route\":\"\xff\",\"House\":\"h\"}", "UTF-8"},
		{"no route", `{"House":"h"}`, "Route: is required"},
		{"no customer", `{"Route":"r"}`, "House: is required"},
		{"long customer", `{"Route":"r","House":"` + strings.Repeat("h", 1025) + `"}`, "House: is longer"},
		{"unnamed filter", `{"Route":"r","House":"h","Filters":[{"Value":"x"}]}`, "Filters.Name: is required"},
		{"too many filters", `{"Route":"r","House":"h","Filters":[` + strings.Repeat(`{"Name":"n"},`, 64) + `{"Name":"n"}]}`, "more than 64"},
		{"timeout without unit", `{"Route":"r","House":"h","Timeout":"5"}`, "Timeout: must be a duration"},
		{"negative timeout", `{"Route":"r","House":"h","Timeout":"-5ms"}`, "Timeout: must be positive"},
		{"timeout as number", `{"Route":"r","House":"h","Timeout":5}`, "Timeout: must not be a number"},
		{"empty range", `{"Route":"r","House":"h","Keys":{"From":"b","To":"a"}}`, "Keys: From must be less"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, _, err := callerjson.DecodeSearch([]byte(tc.body))
			assert.ErrorContains(t, err, tc.message)
		})
	}
}

// Guards against accepted reservations without a field that is needed to run them
// at most once.
func TestInvalidReservations(t *testing.T) {
	full := `{"Ticket":"t","Route":"r","House":"h","Key":"k"}`
	_, _, err := callerjson.DecodeReservation([]byte(full))
	require.NoError(t, err)
	for _, field := range []string{"Ticket", "Route", "House", "Key"} {
		without := strings.Replace(full, `"`+field+`":"`+strings.ToLower(field[:1])+`"`, `"`+field+`":""`, 1)
		_, _, err := callerjson.DecodeReservation([]byte(without))
		assert.ErrorContains(t, err, field+": is required")
	}
}

// Guards against searches that compare as different only because their filters are
// in another order.
func TestFiltersAreOrdered(t *testing.T) {
	first, _, err := callerjson.DecodeSearch([]byte(`{"Route":"r","House":"h","Filters":[{"Name":"b","Value":"1"},{"Name":"a","Value":"2"}]}`))
	require.NoError(t, err)
	second, _, err := callerjson.DecodeSearch([]byte(`{"Route":"r","House":"h","Filters":[{"Name":"a","Value":"2"},{"Name":"b","Value":"1"}]}`))
	require.NoError(t, err)
	assert.Equal(t, first, second)
}

// Guards against fields that are lost by encoding and decoding.
func TestRoundTrips(t *testing.T) {
	answer := ebonyworks.Answer{
		Request:  "r",
		Snapshot: ebonyworks.Snapshot{Number: 3, Epoch: 2},
		Version:  ebonyworks.ConfigurationVersion{Revision: 9, Digest: ebonyworks.Digest{1, 2}},
		Stale:    true,
		Rows:     []ebonyworks.Row{{Key: "k", Fields: []ebonyworks.Field{{Name: "Shade", Value: "7N"}}}},
		Coverage: ebonyworks.Coverage{
			Covered: []ebonyworks.ShardID{"s0"},
			Missed:  []ebonyworks.MissedShard{{Shard: "s1", Reason: ebonyworks.MissShed}},
		},
	}
	body, err := callerjson.EncodeAnswer(answer)
	require.NoError(t, err)
	decodedAnswer, err := callerjson.DecodeAnswer(body)
	require.NoError(t, err)
	assert.Equal(t, answer, decodedAnswer)

	for _, kind := range []ebonyworks.OutcomeKind{ebonyworks.OutcomeUnknown, ebonyworks.OutcomeRan, ebonyworks.OutcomeNotRun} {
		outcome := ebonyworks.Outcome{Kind: kind, Code: ebonyworks.CodeDone, Message: "m", RetryAfter: time.Second,
			Result: []ebonyworks.Field{{Name: "n", Value: "v"}}}
		body, err := callerjson.EncodeOutcome("r", outcome)
		require.NoError(t, err)
		decoded, err := callerjson.DecodeOutcome(body)
		require.NoError(t, err)
		assert.Equal(t, outcome, decoded)
	}

	refusal := ebonyworks.Refusal{Code: ebonyworks.RefusedOverload, Message: "m", RetryAfter: 250 * time.Millisecond, Ran: true}
	body, err = callerjson.EncodeRefusal(refusal)
	require.NoError(t, err)
	decodedRefusal, err := callerjson.DecodeRefusal(body)
	require.NoError(t, err)
	assert.Equal(t, refusal, decodedRefusal)
}

// Guards against panics on arbitrary bodies, and against accepted searches that
// change when they are encoded again.
func FuzzDecodeSearch(f *testing.F) {
	f.Add([]byte(`{"Route":"r","House":"h","Filters":[{"Name":"a","Value":"2"}],"Keys":{"From":"a","To":"b"},"Timeout":"5ms"}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, body []byte) {
		search, timeout, err := callerjson.DecodeSearch(body)
		if err != nil {
			return
		}
		encoded, err := callerjson.EncodeSearch(search, max(timeout.Truncate(time.Millisecond), time.Millisecond))
		require.NoError(t, err)
		again, _, err := callerjson.DecodeSearch(encoded)
		require.NoError(t, err)
		assert.Equal(t, search, again)
	})
}

// Guards against panics on arbitrary bodies, and against accepted reservations
// without a ticket.
func FuzzDecodeReservation(f *testing.F) {
	f.Add([]byte(`{"Ticket":"t","Route":"r","House":"h","Key":"k"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		reservation, _, err := callerjson.DecodeReservation(body)
		if err == nil {
			assert.NotEmpty(t, reservation.Ticket)
		}
	})
}
