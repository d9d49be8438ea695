// Package event defines the numbered log events and writes them as log lines.
package event

import (
	"github.com/ebonyworks/ebonyworks"
)

// Level is the severity of an event.
type Level string

const (
	// Info marks normal operation.
	Info Level = "info"
	// Warning marks a condition that the host handles by itself.
	Warning Level = "warning"
	// Error marks a condition that an operator should look at.
	Error Level = "error"
)

// Entry describes one kind of event in the catalogue.
type Entry struct {
	ID      ebonyworks.EventID
	Level   Level
	Message string
	// Action tells an operator what to do.
	Action string
}

// Catalogue returns all entries in the order of their numbers.
func Catalogue() []Entry {
	var entries []Entry
	for _, group := range [][]Entry{
		processEntries,
		searchEntries,
		reservationEntries,
		configurationEntries,
		membershipEntries,
		serverEntries,
		toolEntries,
	} {
		entries = append(entries, group...)
	}
	return entries
}

// Attribute returns a named detail of an event.
func Attribute(name, value string) ebonyworks.Attribute {
	return ebonyworks.Attribute{Name: name, Value: value}
}

// New returns an event with the given attributes.
func New(id ebonyworks.EventID, attributes ...ebonyworks.Attribute) ebonyworks.Event {
	return ebonyworks.Event{ID: id, Attributes: attributes}
}
