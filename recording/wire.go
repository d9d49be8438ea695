package recording

import (
	"fmt"
	"slices"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/jsonc"
)

// lineWire is one line; exactly one field is set.
type lineWire struct {
	Start   startWire   `json:",omitzero"`
	Attempt attemptWire `json:",omitzero"`
	Call    callWire    `json:",omitzero"`
	End     endWire     `json:",omitzero"`
}

type startWire struct {
	// Format is the version of the format.
	Format  int
	Host    string
	Started string
}

type endWire struct {
	Closed bool
	Left   int
}

type attemptWire struct {
	At        jsonc.Duration
	Latency   jsonc.Duration
	Kind      kindWire
	Service   string
	Server    string
	Request   int          `json:",omitempty"`
	Catalogue string       `json:",omitempty"`
	Shard     string       `json:",omitempty"`
	Snapshot  snapshotWire `json:",omitzero"`
	Filters   []fieldWire  `json:",omitempty"`
	Keys      keysWire     `json:",omitzero"`
	Key       string       `json:",omitempty"`
	Fields    []fieldWire  `json:",omitempty"`
	Result    resultWire
	Reply     replyWire `json:",omitzero"`
}

type replyWire struct {
	Request    int            `json:",omitempty"`
	Shard      string         `json:",omitempty"`
	Snapshot   snapshotWire   `json:",omitzero"`
	RowCount   int            `json:",omitempty"`
	RowDigest  uint64         `json:",omitempty"`
	Rows       []rowWire      `json:",omitempty"`
	Fields     []fieldWire    `json:",omitempty"`
	Report     reportWire     `json:",omitzero"`
	RetryAfter jsonc.Duration `json:",omitzero"`
}

type reportWire struct {
	Server      string
	Incarnation uint64
	Leaving     bool           `json:",omitempty"`
	SlotsBusy   int            `json:",omitempty"`
	Queued      int            `json:",omitempty"`
	Snapshots   []snapshotWire `json:",omitempty"`
}

type snapshotWire struct {
	Number uint64
	Epoch  uint64
}

type keysWire struct {
	From string `json:",omitempty"`
	To   string `json:",omitempty"`
}

type fieldWire struct {
	Name  string
	Value string
}

type rowWire struct {
	Key    string
	Fields []fieldWire `json:",omitempty"`
}

type missWire struct {
	Shard  string
	Reason string
}

type callWire struct {
	At       jsonc.Duration
	Latency  jsonc.Duration
	Kind     kindWire
	Request  int `json:",omitempty"`
	Ticket   int `json:",omitempty"`
	Route    string
	House    string         `json:",omitempty"`
	Timeout  jsonc.Duration `json:",omitzero"`
	Filters  []fieldWire    `json:",omitempty"`
	Keys     keysWire       `json:",omitzero"`
	Key      string         `json:",omitempty"`
	Fields   []fieldWire    `json:",omitempty"`
	Refusal  string         `json:",omitempty"`
	Snapshot snapshotWire   `json:",omitzero"`
	Covered  []string       `json:",omitempty"`
	Missed   []missWire     `json:",omitempty"`
	RowCount int            `json:",omitempty"`
	Outcome  outcomeWire    `json:",omitzero"`
	Code     string         `json:",omitempty"`
}

type kindWire Kind

// UnmarshalText accepts the known kinds.
func (k *kindWire) UnmarshalText(text []byte) error {
	switch kind := Kind(text); kind {
	case SearchKind, ReserveKind, StatusKind:
		*k = kindWire(kind)
		return nil
	}
	return fmt.Errorf("must be Search, Reserve or Status, not %q", text)
}

type resultWire ebonyworks.AttemptResult

// resultNames are the names of attempt results, by value.
var resultNames = []string{"Lost", "Served", "Shed", "Draining", "SnapshotGone", "Expired", "Unreachable", "Timeout", "Canceled", "Invalid", "Rejected"}

// MarshalText returns the name of the result.
func (r resultWire) MarshalText() ([]byte, error) { return nameOf(resultNames, int(r)) }

// UnmarshalText reads the name of a result.
func (r *resultWire) UnmarshalText(text []byte) error {
	index, err := indexOf(resultNames, text)
	*r = resultWire(index)
	return err
}

type outcomeWire ebonyworks.OutcomeKind

// outcomeNames are the names of outcomes, by value.
var outcomeNames = []string{"Unknown", "Ran", "NotRun"}

// MarshalText returns the name of the outcome.
func (o outcomeWire) MarshalText() ([]byte, error) { return nameOf(outcomeNames, int(o)) }

// UnmarshalText reads the name of an outcome.
func (o *outcomeWire) UnmarshalText(text []byte) error {
	index, err := indexOf(outcomeNames, text)
	*o = outcomeWire(index)
	return err
}

func nameOf(names []string, index int) ([]byte, error) {
	if index < 0 || index >= len(names) {
		return nil, fmt.Errorf("no name for value %d", index)
	}
	return []byte(names[index]), nil
}

func indexOf(names []string, text []byte) (int, error) {
	index := slices.Index(names, string(text))
	if index < 0 {
		return 0, fmt.Errorf("must be one of %v, not %q", names, text)
	}
	return index, nil
}
