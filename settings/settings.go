// Package settings reads and validates the process settings of an entry host.
package settings

import (
	"net/netip"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// Defaults of optional settings.
const (
	// DefaultBodyBytes bounds the body of a caller's request.
	DefaultBodyBytes = 64 << 10
	// DefaultStopBound is longer than the longest deadline of the shipped
	// routes, so that a graceful shutdown interrupts no request.
	DefaultStopBound = 30 * time.Second
	// DefaultHeaderBytes bounds the head of a caller's request.
	DefaultHeaderBytes = 16 << 10
	// DefaultMemoryMb is the memory of the smallest machines.
	DefaultMemoryMb = 184
	// DefaultCallerMemoryPercent and DefaultPeerMemoryPercent are the parts of the memory
	// that connections of callers and of other hosts may hold.
	DefaultCallerMemoryPercent = 25
	DefaultPeerMemoryPercent   = 10
)

// Settings are the settings of one process of ebonyd.
type Settings struct {
	Host   ebonyworks.HostID
	Domain ebonyworks.DomainID
	// Region may be empty.
	Region ebonyworks.RegionID
	// Callers is the address at which the host accepts callers' requests.
	Callers netip.AddrPort
	// Peers is the address at which the host accepts connections of peers. It is
	// advertised to them.
	Peers netip.AddrPort
	// Admin is the address at which the host serves metrics and profiles. The zero value
	// means that there is no such listener.
	Admin netip.AddrPort
	// Platform is the address of the configuration service and host list.
	Platform netip.AddrPort
	// Seeds are the peers' addresses of hosts to contact first. The host's own
	// address may be among them.
	Seeds []netip.AddrPort
	// TicketKeys has at least one element. The first signs tickets, and all
	// verify them. Their ids are unique.
	TicketKeys []TicketKey
	Traces     Traces
	Limits     Limits
	// StopBound is the time limit of a graceful shutdown.
	StopBound time.Duration
	Log       Log
	// Policy is how replicas are chosen; all but PolicyAdaptive are baselines
	// for experiments.
	Policy Policy
	// Recording is the file to which requests are recorded; empty for none.
	Recording string
}

// Policy is a way to choose replicas and to hedge.
type Policy int

const (
	// PolicyAdaptive chooses by the latencies and failures that the host observes,
	// and hedges within budgets.
	PolicyAdaptive Policy = iota
	// PolicyRoundRobin takes replicas in turn and never hedges.
	PolicyRoundRobin
	// PolicyLeastOutstanding takes the replica with the fewest attempts in
	// flight and never hedges.
	PolicyLeastOutstanding
	// PolicyFixedHedge hedges after a fixed delay without a budget.
	PolicyFixedHedge
)

// TicketKey is a key that signs or verifies tickets.
type TicketKey struct {
	ID     string
	Secret Secret
}

// Traces tells where traces go.
type Traces struct {
	Exporter TraceExporter
	// File is set for TracesFile.
	File string
	// Endpoint is the URL of the collector for TracesOTLP.
	Endpoint string
}

// TraceExporter is a way to export traces.
type TraceExporter int

const (
	// TracesNone exports no traces.
	TracesNone TraceExporter = iota
	// TracesStdout writes traces to standard output.
	TracesStdout
	// TracesFile appends traces to a file.
	TracesFile
	// TracesOTLP sends traces to a collector with OTLP over HTTP.
	TracesOTLP
)

// Limits bound what a host accepts. Zero values mean the defaults.
type Limits struct {
	// BodyBytes bounds the body of one request.
	BodyBytes int
	// HeaderBytes bounds the head of one request, and HeadLines its lines.
	HeaderBytes int
	HeadLines   int
	// MemoryMb is the memory of the process in MiB. The garbage collector keeps below it
	// only if it isn't zero.
	MemoryMb int
	// CallerMemoryPercent and PeerMemoryPercent are the parts of MemoryMb that connections
	// of callers and of other hosts may hold.
	CallerMemoryPercent, PeerMemoryPercent int
	// MaxDescriptors is the maximum number of open files; zero if unknown, which bounds
	// connections by the memory only.
	MaxDescriptors int
}

// MemoryBytes returns a share of the memory, which is that of the smallest machines if
// it isn't known.
func (l Limits) MemoryBytes(share float64) int64 {
	memory := l.MemoryMb
	if memory == 0 {
		memory = DefaultMemoryMb
	}
	return int64(share * float64(memory) * mebibyte)
}

const mebibyte = 1 << 20

// Log tells where log lines go.
type Log struct {
	Output LogOutput
	// File is set for LogFile.
	File string
}

// LogOutput is a destination of log lines.
type LogOutput int

const (
	// LogStderr writes to standard error.
	LogStderr LogOutput = iota
	// LogStdout writes to standard output.
	LogStdout
	// LogFile appends to a file.
	LogFile
)

// WithDefaults returns the settings with defaults in place of zero limits and
// a zero stop bound.
func (s Settings) WithDefaults() Settings {
	if s.Limits.BodyBytes == 0 {
		s.Limits.BodyBytes = DefaultBodyBytes
	}
	if s.StopBound == 0 {
		s.StopBound = DefaultStopBound
	}
	return s
}
