package ebonyworks

// EventID numbers a kind of log event. Numbers are never reused.
type EventID int

// Event is one occurrence that is worth a log line.
type Event struct {
	ID         EventID
	Attributes []Attribute
}

// Attribute is a named detail of an event.
type Attribute struct {
	Name, Value string
}

// Recorder takes events. Implementations don't block.
type Recorder interface {
	Record(event Event)
}
