package ebonyworks

// EventID is the number of a kind of log event. Numbers are never reused.
type EventID int

// Event is one entry of the log.
type Event struct {
	ID         EventID
	Attributes []Attribute
}

// Attribute is a named value of an event.
type Attribute struct {
	Name, Value string
}

// EventRecorder writes events to the log. Implementations don't block.
type EventRecorder interface {
	Record(event Event)
}
