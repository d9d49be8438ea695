// Package scenario reads the settings of experiments: the demand of one user,
// and scenarios of phases and timed faults.
package scenario

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/load/workload"
)

// Defaults of optional settings.
const (
	// DefaultClientDelay is the one-way distance of clients in docs/design.md.
	DefaultClientDelay = 3 * time.Millisecond
	// DefaultMaxOutstanding is above what 2x overload of the shipped
	// deployments leaves outstanding within the deadline of their routes.
	DefaultMaxOutstanding = 2000
	// DefaultDistinct is the number of distinct searches of each route.
	DefaultDistinct = 200
	// DefaultSkew is the exponent of the Zipf distribution.
	DefaultSkew = 1.1
	// DefaultSeed is the seed of runs that name none.
	DefaultSeed = 1
)

// Settings describe the experiments with the deployment of one user.
type Settings struct {
	// User names the deployment in results.
	User string
	// MeanServiceTime is the mean time for which a request occupies a slot of a
	// backend server.
	MeanServiceTime time.Duration
	// ClientDelay is the one-way delay between clients and entry hosts.
	ClientDelay time.Duration
	// MaxOutstanding bounds the requests without reply.
	MaxOutstanding int
	// Timeout is the deadline that callers name; zero leaves it to the routes.
	Timeout time.Duration
	Mix     workload.Mix
	// Scenarios have unique names.
	Scenarios []Scenario
}

// Scenario returns the named scenario.
func (s *Settings) Scenario(name string) (Scenario, bool) {
	for _, scenario := range s.Scenarios {
		if scenario.Name == name {
			return scenario, true
		}
	}
	return Scenario{}, false
}

// Scenario is one experiment.
type Scenario struct {
	Name string
	// Prime is the load in percent of slots at which every distinct search is
	// sent once to each host before the warm-up; zero omits this.
	Prime int
	// WarmUp is the time at the load of the first phase that isn't counted.
	WarmUp time.Duration
	// Phases has at least one element.
	Phases  []Phase
	Faults  []Fault
	Resends []Resend
	Setup   Setup
}

// Setup is what the script that starts the processes needs to know. The tool
// doesn't use it itself.
type Setup struct {
	// SnapshotPeriod is the time between snapshots; zero means that there is
	// only one.
	SnapshotPeriod time.Duration
	// ColdFactor multiplies the service times of started servers for ColdTime;
	// zero means that they start warm.
	ColdFactor int
	ColdTime   time.Duration
	// RestartHosts is the time between the restarts of one entry host after the
	// other; zero means that none is restarted.
	RestartHosts time.Duration
	// KillHosts is the failure domain whose entry hosts are killed when the
	// first phase starts; empty means none.
	KillHosts ebonyworks.DomainID
}

// Duration returns the counted time.
func (s Scenario) Duration() time.Duration {
	var total time.Duration
	for _, phase := range s.Phases {
		total += phase.Duration
	}
	return total
}

// Phase is a time of constant load.
type Phase struct {
	Name string
	// Percent is the load as a part of the slots of the busiest service.
	Percent  int
	Duration time.Duration
}

// Resend sends one search again and again, whatever its result, like a caller
// that retries.
type Resend struct {
	Route  ebonyworks.RouteID
	House  ebonyworks.CustomerID
	Filter ebonyworks.Field
	// At is when it is sent first, since the start of the first phase.
	At    time.Duration
	Every time.Duration
}

// FaultKind names a fault that stand-in backend servers can be given.
type FaultKind string

const (
	// Slow multiplies service times by Factor.
	Slow FaultKind = "Slow"
	// Freeze stops the servers without closing connections.
	Freeze FaultKind = "Freeze"
	// Kill closes the servers and their connections; they come back as new
	// incarnations.
	Kill FaultKind = "Kill"
	// Crash lets the servers crash on a filter value.
	Crash FaultKind = "Crash"
	// Lie lets the servers report load that they don't have.
	Lie FaultKind = "Lie"
	// Drain lets the servers leave gracefully.
	Drain FaultKind = "Drain"
	// Restart kills the servers and starts them again, which makes them cold if
	// the stand-ins have a cold start.
	Restart FaultKind = "Restart"
)

// Fault is a fault of some servers for some time.
type Fault struct {
	Kind FaultKind
	// At is the beginning since the start of the first phase.
	At time.Duration
	// For is the length; zero lasts until the end of the scenario.
	For     time.Duration
	Servers Selector
	// Factor belongs to Slow.
	Factor int
	// Value is the filter value of Crash, and Downtime how long a crashed server
	// is away; zero leaves it to the stand-ins.
	Value    string
	Downtime time.Duration
	// Report is what the servers report about their load in a Lie.
	Report Report
}

// Report is a wrong load.
type Report string

const (
	// Idle states that no slot is busy.
	Idle Report = "Idle"
	// Busy states that all slots are busy and the queue is full.
	Busy Report = "Busy"
)

// Selector chooses servers; an empty field chooses all.
type Selector struct {
	Catalogue ebonyworks.CatalogueID
	Domain    ebonyworks.DomainID
	// Replica is the position within its service, counted from 1.
	Replica int
	// Services is Odd or Even for every other service of a catalogue.
	Services Parity
}

// Parity chooses every other service, counted from 1.
type Parity string

const (
	// Odd chooses the first, third and so on.
	Odd Parity = "Odd"
	// Even chooses the second, fourth and so on.
	Even Parity = "Even"
)

// Select returns the chosen servers in the order of the configuration.
func (s Selector) Select(configuration *ebonyworks.Configuration) []ebonyworks.ServerID {
	var chosen []ebonyworks.ServerID
	for _, catalogue := range configuration.Catalogues {
		if s.Catalogue != "" && s.Catalogue != catalogue.ID {
			continue
		}
		for i, service := range catalogue.Services {
			if !s.Services.includes(i + 1) {
				continue
			}
			chosen = append(chosen, s.replicas(service)...)
		}
	}
	return chosen
}

func (s Selector) replicas(service ebonyworks.Service) []ebonyworks.ServerID {
	var chosen []ebonyworks.ServerID
	for i, server := range service.Servers {
		if s.Replica != 0 && s.Replica != i+1 {
			continue
		}
		if s.Domain != "" && s.Domain != server.Domain {
			continue
		}
		chosen = append(chosen, server.ID)
	}
	return chosen
}

func (p Parity) includes(number int) bool {
	switch p {
	case Odd:
		return number%2 == 1
	case Even:
		return number%2 == 0
	default:
		return true
	}
}
