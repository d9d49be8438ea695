package jsonc_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/jsonc"
)

type item struct {
	Name  string
	Wait  jsonc.Duration `json:",omitzero"`
	Count int            `json:",omitempty"`
}

type list struct {
	Items []item
	Size  uint64 `json:",omitempty"`
	On    bool   `json:",omitempty"`
}

// Guards against validation errors that aren't reported, and against a decoder that
// stops at the first one.
func TestDecodeReportsProblems(t *testing.T) {
	tests := []struct {
		name, text string
		want       []ebonyworks.Problem
	}{
		{"several", `{"Items": [{"Name": 1, "Wait": "6 ms"}, {"Count": 1.5, "name": ""}], "Size": -1, "On": null, "On": true}`, []ebonyworks.Problem{
			{Path: "Items[0].Name", Message: "must be a string"},
			{Path: "Items[0].Wait", Message: `must be a duration such as "6ms", not "6 ms"`},
			{Path: "Items[1].Count", Message: "must be an integer of at most 64 bits"},
			{Path: "Items[1].name", Message: "unknown field"},
			{Path: "Items[1].Name", Message: "is missing"},
			{Path: "Size", Message: "must be an integer from 0 of at most 64 bits"},
			{Path: "On", Message: "must not be null"},
			{Path: "On", Message: "appears twice"},
		}},
		{"kinds", `{"Items": {}, "Size": "1", "On": 0}`, []ebonyworks.Problem{
			{Path: "Items", Message: "must be an array"},
			{Path: "Size", Message: "must be an integer"},
			{Path: "On", Message: "must be true or false"},
		}},
		{"not an object", `[]`, []ebonyworks.Problem{{Message: "must be an object"}}},
		{"odd name", `{"Items": [], "a b": 1}`, []ebonyworks.Problem{{Path: `"a b"`, Message: "unknown field"}}},
		{"syntax", "{\n \"Items\": hidden}", []ebonyworks.Problem{{Message: "malformed JSON at line 2, column 11"}}},
		{"cut", `{"Items": [`, []ebonyworks.Problem{{Message: "unexpected end of the document at line 1, column 12"}}},
		{"encoding", "{\"Items\": [\"\xff\"]}", []ebonyworks.Problem{{Message: "the document is not valid UTF-8"}}},
		{"deep", strings.Repeat("[", 1<<20), []ebonyworks.Problem{{Message: "the document is nested more than 32 levels deep"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.want, jsonc.Decode([]byte(test.text), &list{}))
		})
	}
}

// Guards against comments, escape sequences or brackets in strings that change a
// decoded value.
func TestDecode(t *testing.T) {
	brackets := strings.Repeat("[{", 40)
	text := "// head " + brackets + "\n{/* " + brackets + " */ \"Items\": [{\"Name\": \"" + brackets + "\\\"\", \"Wait\": \"1m\",},], \"On\": true}"
	var got list
	assert.Empty(t, jsonc.Decode([]byte(text), &got))
	want := list{Items: []item{{Name: brackets + `"`, Wait: jsonc.Duration(time.Minute)}}, On: true}
	assert.Equal(t, want, got)
}

// Guards against formatting that changes values, and against one line for each field,
// with which a catalogue of the design size exceeds the size limit of a value.
func TestEncode(t *testing.T) {
	long := strings.Repeat("x", 160)
	tests := []struct {
		value any
		want  string
	}{
		{list{}, `{"Items": null}` + "\n"},
		{list{Items: []item{{Name: `a":,{<é` + "\n"}}, On: true}, `{"Items": [{"Name": "a\":,{<é\n"}], "On": true}` + "\n"},
		{list{Items: []item{{Name: long}, {Name: "b", Count: -1}}, Size: 2},
			"{\n  \"Items\": [\n    {\n      \"Name\": \"" + long + "\"\n    },\n    {\"Name\": \"b\", \"Count\": -1}\n  ],\n  \"Size\": 2\n}\n"},
	}
	for _, test := range tests {
		got, err := jsonc.Encode(test.value)
		require.NoError(t, err)
		assert.Equal(t, test.want, string(got))
		if test.value.(list).Items != nil {
			var again list
			assert.Empty(t, jsonc.Decode(got, &again))
			assert.Equal(t, test.value, again)
		}
	}
}

// Guards against formatting that changes a value, for JSON of any structure.
func FuzzEncode(f *testing.F) {
	f.Add([]byte(`{"a":[1,true,null,{"b":"]}\\\""},[],{}],"":{"long":"` + strings.Repeat("x", 160) + `"}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var value any
		if json.Unmarshal(text, &value) != nil {
			return
		}
		encoded, err := jsonc.Encode(value)
		require.NoError(t, err)
		var again any
		require.NoError(t, json.Unmarshal(encoded, &again))
		require.Equal(t, value, again)
	})
}
