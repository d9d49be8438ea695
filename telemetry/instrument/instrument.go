// Package instrument lists the metrics of an entry host.
package instrument

// Kind is the kind of an instrument.
type Kind string

// The kinds of instruments.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Definition describes a metric. Its labels are never per caller, key or
// ticket, so that the number of series is bounded by the configuration.
type Definition struct {
	Name string
	Kind Kind
	// Unit is a UCUM unit; empty for counts and flags.
	Unit   string
	Labels []string
}

// Names of the host's own metrics.
const (
	Revision     = "ebonyworks.host.revision"
	Stale        = "ebonyworks.host.configuration_stale"
	Ready        = "ebonyworks.host.ready"
	Members      = "ebonyworks.members"
	Calls        = "ebonyworks.platform.calls"
	Servers      = "ebonyworks.servers"
	InFlight     = "ebonyworks.requests.in_flight"
	Queued       = "ebonyworks.requests.queued"
	Hedges       = "ebonyworks.hedges"
	Retries      = "ebonyworks.retries"
	Refusals     = "ebonyworks.refusals"
	Records      = "ebonyworks.ledger.records"
	Quarantined  = "ebonyworks.fingerprints.quarantined"
	Attempts     = "ebonyworks.attempts"
	AttemptTime  = "ebonyworks.attempt.duration"
	Searches     = "ebonyworks.searches"
	SearchTime   = "ebonyworks.search.duration"
	MissedShards = "ebonyworks.missed_shards"
	Reservations = "ebonyworks.reservations"
	Forwards     = "ebonyworks.forwards"
	ForwardTime  = "ebonyworks.forward.duration"
	MissedParts  = "ebonyworks.missed_parts"
	Hosts        = "ebonyworks.hosts"
	Opened       = "ebonyworks.connections.opened"
	StoreAge     = "ebonyworks.store.age"
	StoreRead    = "ebonyworks.store.read"
	StoreCalls   = "ebonyworks.store.calls"
	Withdrawn    = "ebonyworks.servers.withdrawn"
)

// Catalogue returns all metrics in the order of docs/telemetry.md.
func Catalogue() []Definition {
	return []Definition{
		{Name: Revision, Kind: Gauge},
		{Name: Stale, Kind: Gauge},
		{Name: Ready, Kind: Gauge},
		{Name: Members, Kind: Gauge, Labels: []string{"state"}},
		{Name: Calls, Kind: Counter},
		{Name: Servers, Kind: Gauge, Labels: []string{"state"}},
		{Name: InFlight, Kind: Gauge, Labels: []string{"route"}},
		{Name: Queued, Kind: Gauge, Labels: []string{"route"}},
		{Name: Hedges, Kind: Counter, Labels: []string{"decision"}},
		{Name: Retries, Kind: Counter, Labels: []string{"decision"}},
		{Name: Refusals, Kind: Counter, Labels: []string{"code"}},
		{Name: Records, Kind: Gauge},
		{Name: Quarantined, Kind: Gauge},
		{Name: Attempts, Kind: Counter, Labels: []string{"kind", "result", "service"}},
		{Name: AttemptTime, Kind: Histogram, Unit: "s", Labels: []string{"service"}},
		{Name: Searches, Kind: Counter, Labels: []string{"outcome", "route"}},
		{Name: SearchTime, Kind: Histogram, Unit: "s", Labels: []string{"route"}},
		{Name: MissedShards, Kind: Counter, Labels: []string{"reason", "route"}},
		{Name: Reservations, Kind: Counter, Labels: []string{"code", "outcome", "route"}},
	}
}

// GatewayCatalogue returns the metrics that only gateways have, in the order of
// docs/telemetry.md.
func GatewayCatalogue() []Definition {
	return []Definition{
		{Name: Forwards, Kind: Counter, Labels: []string{"outcome", "route"}},
		{Name: ForwardTime, Kind: Histogram, Unit: "s", Labels: []string{"route"}},
		{Name: MissedParts, Kind: Counter, Labels: []string{"route"}},
		{Name: Hosts, Kind: Gauge},
		{Name: Opened, Kind: Counter},
		{Name: StoreAge, Kind: Gauge, Unit: "s"},
		{Name: StoreRead, Kind: Gauge},
		{Name: StoreCalls, Kind: Counter},
		{Name: Withdrawn, Kind: Gauge, Labels: []string{"state"}},
	}
}

// Flag returns the value of a gauge that tells whether something is set.
func Flag(set bool) int64 {
	if set {
		return 1
	}
	return 0
}
