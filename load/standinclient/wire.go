package standinclient

import (
	"strings"

	"github.com/ebonyworks/ebonyworks/load"
	"github.com/ebonyworks/ebonyworks/load/scenario"
)

// serversWire is the part of the reply to GET /servers that is used.
type serversWire struct {
	Servers []serverWire
}

type serverWire struct {
	Server string
	Counts load.Counters
}

type executionsWire struct {
	Executions []executionWire
	Dropped    int
}

type executionWire struct {
	Request string
	Started int
}

// faultsWire is the part of the body of PUT /faults that scenarios use. The
// request replaces all faults of a server.
type faultsWire struct {
	SlowFactor                float64 `json:",omitempty"`
	Frozen                    bool    `json:",omitempty"`
	CrashValue                string  `json:",omitempty"`
	CrashDowntimeMilliseconds int64   `json:",omitempty"`
	Report                    string  `json:",omitempty"`
}

func (f *faultsWire) set(fault scenario.Fault) {
	switch fault.Kind {
	case scenario.Slow:
		f.SlowFactor = float64(fault.Factor)
	case scenario.Freeze:
		f.Frozen = true
	case scenario.Crash:
		f.CrashValue = fault.Value
		f.CrashDowntimeMilliseconds = fault.Downtime.Milliseconds()
	case scenario.Lie:
		f.Report = strings.ToLower(string(fault.Report))
	}
}

func (f *faultsWire) clear(fault scenario.Fault) {
	switch fault.Kind {
	case scenario.Slow:
		f.SlowFactor = 0
	case scenario.Freeze:
		f.Frozen = false
	case scenario.Crash:
		f.CrashValue = ""
		f.CrashDowntimeMilliseconds = 0
	case scenario.Lie:
		f.Report = ""
	}
}
