package server

import (
	"strings"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// ReplyFault is a kind of damaged reply.
type ReplyFault string

const (
	// TruncatedReply ends the reply in the middle.
	TruncatedReply ReplyFault = "truncated"
	// GarbledReply changes bytes of the reply.
	GarbledReply ReplyFault = "garbled"
	// WrongRequestReply names another request.
	WrongRequestReply ReplyFault = "wrong_request"
	// WrongShardReply names another shard.
	WrongShardReply ReplyFault = "wrong_shard"
	// WrongSnapshotReply names, and has the rows of, another snapshot.
	WrongSnapshotReply ReplyFault = "wrong_snapshot"
	// DuplicatedReply sends the body twice.
	DuplicatedReply ReplyFault = "duplicated"
)

// ClosePoint is a point of a request at which a server closes the connection.
type ClosePoint string

const (
	// CloseBefore closes before the body is read.
	CloseBefore ClosePoint = "before"
	// CloseDuring closes after a part of the body was read.
	CloseDuring ClosePoint = "during"
	// CloseAfter closes after the body was read and before the request runs.
	CloseAfter ClosePoint = "after"
	// CloseExecuted closes after the request ran, instead of the reply.
	CloseExecuted ClosePoint = "executed"
)

// ReportFault is a kind of wrong load in reports.
type ReportFault string

const (
	// IdleReport states that no slot is busy.
	IdleReport ReportFault = "idle"
	// BusyReport states that all slots are busy and the queue is full.
	BusyReport ReportFault = "busy"
)

// Faults are the injected faults of a server. The zero value has none.
type Faults struct {
	// SlowFactor multiplies service times; zero means 1.
	SlowFactor float64
	// Frozen stops all traffic of the server while its connections stay open.
	Frozen bool
	// CrashValue crashes the server when it starts a request with a filter or
	// field of that value, for CrashDowntime.
	CrashValue    string
	CrashDowntime time.Duration
	// Reply damages the given share of replies; a zero share means all.
	Reply      ReplyFault
	ReplyShare float64
	// Close closes the connection in the given share of requests; a zero share
	// means all.
	Close      ClosePoint
	CloseShare float64
	// Shed refuses all work.
	Shed bool
	// Report is the wrong load that reports state.
	Report ReportFault
}

func (f Faults) slowFactor() float64 {
	if f.SlowFactor <= 0 {
		return 1
	}
	return f.SlowFactor
}

func (f Faults) crashes(fields []ebonyworks.Field) bool {
	if f.CrashValue == "" {
		return false
	}
	for _, field := range fields {
		if strings.Contains(field.Value, f.CrashValue) {
			return true
		}
	}
	return false
}

// hits reports whether a fault of the given share, zero for all, occurs now.
func (d *dice) hits(share float64) bool {
	return share <= 0 || d.chance(share)
}

// gate holds back the traffic of a frozen server.
type gate struct {
	mu sync.Mutex
	// opened is nil while the gate is open and is closed when it opens again.
	opened chan struct{}
}

func (g *gate) set(frozen bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case frozen && g.opened == nil:
		g.opened = make(chan struct{})
	case !frozen && g.opened != nil:
		close(g.opened)
		g.opened = nil
	}
}

// pass waits until the gate is open or the channel is closed.
func (g *gate) pass(closed <-chan struct{}) {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened == nil {
		return
	}
	select {
	case <-opened:
	case <-closed:
	}
}
