package event_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks/event"
)

// Guards against events that operators can't look up, and against pages that
// describe events which no longer exist.
func TestCatalogueMatchesDocs(t *testing.T) {
	page, err := os.ReadFile("../docs/events.md")
	require.NoError(t, err)
	var rows []string
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| Event") {
			rows = append(rows, line)
		}
	}
	var want []string
	for _, entry := range event.Catalogue() {
		want = append(want, fmt.Sprintf("| %d | %s | %s | %s |", entry.ID, entry.Level, entry.Message, entry.Action))
	}
	assert.Equal(t, strings.Join(want, "\n"), strings.Join(rows, "\n"))
}

// Guards against two events that share a number.
func TestNumbersIncrease(t *testing.T) {
	entries := event.Catalogue()
	for i := 1; i < len(entries); i++ {
		assert.Less(t, entries[i-1].ID, entries[i].ID)
	}
}

// Guards against log lines that lack the number or an attribute.
func TestRecorderWritesEvent(t *testing.T) {
	var out bytes.Buffer
	recorder := event.NewRecorder(&out)
	recorder.Record(event.New(event.ServerDraining, event.Attribute("Server", "stock-finder-01-a")))
	assert.Contains(t, out.String(), `"Event":6001`)
	assert.Contains(t, out.String(), `"Server":"stock-finder-01-a"`)
}
