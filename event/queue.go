package event

import (
	"strconv"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// QueueRate is the number of lines that a queue writes in a second at most.
	QueueRate = 200
	// queueSize bounds the lines that wait to be written.
	queueSize = 1024
)

// Queue hands events to a recorder without blocking, and bounds their volume.
// Warnings and errors go before other lines when the bound is reached. Use
// NewQueue.
type Queue struct {
	next    ebonyworks.EventRecorder
	waiting chan ebonyworks.Event
	stopped chan struct{}
	levels  map[ebonyworks.EventID]Level

	mutex sync.Mutex
	// second is when the current second began, and taken the lines since then.
	second time.Time
	taken  int
	// dropped counts the lines left out since the last report of them.
	dropped int
	closed  bool
}

// reserved is the part of the rate that only warnings and errors may use.
const reserved = 0.25

var _ ebonyworks.EventRecorder = (*Queue)(nil)

// NewQueue returns a queue that writes to next until it is closed.
func NewQueue(next ebonyworks.EventRecorder) *Queue {
	queue := &Queue{
		next:    next,
		waiting: make(chan ebonyworks.Event, queueSize),
		stopped: make(chan struct{}),
		levels:  make(map[ebonyworks.EventID]Level),
	}
	for _, entry := range Catalogue() {
		queue.levels[entry.ID] = entry.Level
	}
	go queue.run()
	return queue
}

// Record queues the event, or counts it as left out.
func (q *Queue) Record(event ebonyworks.Event) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.closed {
		return
	}
	now := time.Now()
	if now.Sub(q.second) >= time.Second {
		q.report()
		q.second = now
		q.taken = 0
	}
	if !q.admit(event) {
		q.dropped++
	}
}

// Close writes what is queued and ends the queue.
func (q *Queue) Close() {
	q.mutex.Lock()
	if !q.closed {
		q.report()
		q.closed = true
		close(q.waiting)
	}
	q.mutex.Unlock()
	<-q.stopped
}

func (q *Queue) admit(event ebonyworks.Event) bool {
	limit := int((1 - reserved) * QueueRate)
	if q.levels[event.ID] != Info {
		limit = QueueRate
	}
	if q.taken >= limit {
		return false
	}
	select {
	case q.waiting <- event:
		q.taken++
		return true
	default:
		return false
	}
}

// report queues a line that says how many were left out.
func (q *Queue) report() {
	if q.dropped == 0 {
		return
	}
	select {
	case q.waiting <- New(LinesDropped, Attribute("Lines", strconv.Itoa(q.dropped))):
		q.dropped = 0
	default:
	}
}

func (q *Queue) run() {
	defer close(q.stopped)
	for event := range q.waiting {
		q.next.Record(event)
	}
}
