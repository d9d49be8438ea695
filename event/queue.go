package event

import (
	"strconv"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// QueueRate is the maximum number of lines that a queue writes per second.
	QueueRate = 200
	// queueSize bounds the lines that wait to be written.
	queueSize = 1024
)

// Queue passes events to a recorder without blocking, and bounds their rate.
// A share of the rate is reserved for warnings and errors, so that other lines
// are dropped first. Use
// NewQueue.
type Queue struct {
	next    ebonyworks.EventRecorder
	pending chan ebonyworks.Event
	done    chan struct{}
	levels  map[ebonyworks.EventID]Level

	mutex sync.Mutex
	// secondStart is when the current second began, and queuedInSecond is the
	// number of lines that were queued since then.
	secondStart    time.Time
	queuedInSecond int
	// dropped counts the lines dropped since the last report of them.
	dropped int
	closed  bool
}

// reservedShare is the part of the rate that only warnings and errors may use.
const reservedShare = 0.25

var _ ebonyworks.EventRecorder = (*Queue)(nil)

// NewQueue returns a queue that writes to next until it is closed.
func NewQueue(next ebonyworks.EventRecorder) *Queue {
	queue := &Queue{
		next:    next,
		pending: make(chan ebonyworks.Event, queueSize),
		done:    make(chan struct{}),
		levels:  make(map[ebonyworks.EventID]Level),
	}
	for _, entry := range Catalogue() {
		queue.levels[entry.ID] = entry.Level
	}
	go queue.run()
	return queue
}

// Record queues the event, or counts it as dropped.
func (q *Queue) Record(event ebonyworks.Event) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.closed {
		return
	}
	now := time.Now()
	if now.Sub(q.secondStart) >= time.Second {
		q.report()
		q.secondStart = now
		q.queuedInSecond = 0
	}
	if !q.admit(event) {
		q.dropped++
	}
}

// Close writes the queued events and stops the queue.
func (q *Queue) Close() {
	q.mutex.Lock()
	if !q.closed {
		q.report()
		q.closed = true
		close(q.pending)
	}
	q.mutex.Unlock()
	<-q.done
}

func (q *Queue) admit(event ebonyworks.Event) bool {
	limit := int((1 - reservedShare) * QueueRate)
	if q.levels[event.ID] != Info {
		limit = QueueRate
	}
	if q.queuedInSecond >= limit {
		return false
	}
	select {
	case q.pending <- event:
		q.queuedInSecond++
		return true
	default:
		return false
	}
}

// report queues an event with the number of dropped lines.
func (q *Queue) report() {
	if q.dropped == 0 {
		return
	}
	select {
	case q.pending <- New(LinesDropped, Attribute("Lines", strconv.Itoa(q.dropped))):
		q.dropped = 0
	default:
	}
}

func (q *Queue) run() {
	defer close(q.done)
	for event := range q.pending {
		q.next.Record(event)
	}
}
