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
	ConfigurationRevision   = "ebonyworks.host.revision"
	ConfigurationStale      = "ebonyworks.host.configuration_stale"
	Ready                   = "ebonyworks.host.ready"
	Members                 = "ebonyworks.members"
	PlatformCalls           = "ebonyworks.platform.calls"
	Servers                 = "ebonyworks.servers"
	RequestsInFlight        = "ebonyworks.requests.in_flight"
	RequestsQueued          = "ebonyworks.requests.queued"
	Hedges                  = "ebonyworks.hedges"
	Retries                 = "ebonyworks.retries"
	Refusals                = "ebonyworks.refusals"
	LedgerRecords           = "ebonyworks.ledger.records"
	QuarantinedFingerprints = "ebonyworks.fingerprints.quarantined"
	Attempts                = "ebonyworks.attempts"
	AttemptDuration         = "ebonyworks.attempt.duration"
	Searches                = "ebonyworks.searches"
	SearchDuration          = "ebonyworks.search.duration"
	MissedShards            = "ebonyworks.missed_shards"
	Reservations            = "ebonyworks.reservations"
	Forwards                = "ebonyworks.forwards"
	ForwardDuration         = "ebonyworks.forward.duration"
	MissedParts             = "ebonyworks.missed_parts"
	Hosts                   = "ebonyworks.hosts"
	ConnectionsOpened       = "ebonyworks.connections.opened"
	ConnectionsReplaced     = "ebonyworks.connections.opened_in_advance"
	StoreAge                = "ebonyworks.store.age"
	StoreReadDirectly       = "ebonyworks.store.read"
	StoreCalls              = "ebonyworks.store.calls"
	StoreEra                = "ebonyworks.store.era"
	WithdrawnServers        = "ebonyworks.servers.withdrawn"
	RateLimitedServers      = "ebonyworks.servers.rate_limited"
	ColdServers             = "ebonyworks.servers.cold"
	PermitsIssued           = "ebonyworks.permits.issued"
	PermitsRefused          = "ebonyworks.permits.refused"
	PermitIssuer            = "ebonyworks.permits.issuer"
	FailureReportsSent      = "ebonyworks.failure_reports.sent"
	ConnectionsHeld         = "ebonyworks.connections.held"
	ConnectionsLimited      = "ebonyworks.connections.limited"
	StreamsLimited          = "ebonyworks.streams.limited"
	RateLimitedAttempts     = "ebonyworks.attempts.rate_limited"
	AttemptsLeavingDomain   = "ebonyworks.attempts.left_domain"
	CrossDomainTraffic      = "ebonyworks.traffic.cross_domain"
	EvacuatedDomains        = "ebonyworks.domains.evacuated"
	WithheldAttempts        = "ebonyworks.attempts.withheld"
	CapacityLearnedServers  = "ebonyworks.servers.capacity_learned"
	CapacityChangedChoices  = "ebonyworks.choices.changed_by_capacity"
)

// Catalogue returns all metrics in the order of docs/telemetry.md.
func Catalogue() []Definition {
	return []Definition{
		{Name: ConfigurationRevision, Kind: Gauge},
		{Name: ConfigurationStale, Kind: Gauge},
		{Name: Ready, Kind: Gauge},
		{Name: Members, Kind: Gauge, Labels: []string{"state"}},
		{Name: PlatformCalls, Kind: Counter},
		{Name: Servers, Kind: Gauge, Labels: []string{"state"}},
		{Name: RequestsInFlight, Kind: Gauge, Labels: []string{"route"}},
		{Name: RequestsQueued, Kind: Gauge, Labels: []string{"route"}},
		{Name: Hedges, Kind: Counter, Labels: []string{"decision"}},
		{Name: Retries, Kind: Counter, Labels: []string{"decision"}},
		{Name: Refusals, Kind: Counter, Labels: []string{"code"}},
		{Name: LedgerRecords, Kind: Gauge},
		{Name: QuarantinedFingerprints, Kind: Gauge},
		{Name: Attempts, Kind: Counter, Labels: []string{"kind", "result", "service"}},
		{Name: AttemptDuration, Kind: Histogram, Unit: "s", Labels: []string{"service"}},
		{Name: Searches, Kind: Counter, Labels: []string{"outcome", "route"}},
		{Name: SearchDuration, Kind: Histogram, Unit: "s", Labels: []string{"route"}},
		{Name: MissedShards, Kind: Counter, Labels: []string{"reason", "route"}},
		{Name: Reservations, Kind: Counter, Labels: []string{"code", "outcome", "route"}},
	}
}

// GatewayCatalogue returns the metrics that only gateways have, in the order of
// docs/telemetry.md.
func GatewayCatalogue() []Definition {
	return []Definition{
		{Name: Forwards, Kind: Counter, Labels: []string{"outcome", "route"}},
		{Name: ForwardDuration, Kind: Histogram, Unit: "s", Labels: []string{"route"}},
		{Name: MissedParts, Kind: Counter, Labels: []string{"route"}},
		{Name: Hosts, Kind: Gauge},
		{Name: ConnectionsOpened, Kind: Counter},
		{Name: ConnectionsReplaced, Kind: Counter},
		{Name: StoreAge, Kind: Gauge, Unit: "s"},
		{Name: StoreReadDirectly, Kind: Gauge},
		{Name: StoreCalls, Kind: Counter},
		{Name: StoreEra, Kind: Gauge},
		{Name: WithdrawnServers, Kind: Gauge, Labels: []string{"state"}},
		{Name: RateLimitedServers, Kind: Gauge},
		{Name: ColdServers, Kind: Gauge},
		{Name: RateLimitedAttempts, Kind: Counter, Labels: []string{"kind", "service"}},
		{Name: EvacuatedDomains, Kind: Gauge},
		{Name: WithheldAttempts, Kind: Counter},
		{Name: FailureReportsSent, Kind: Counter},
		{Name: PermitsIssued, Kind: Counter},
		{Name: PermitsRefused, Kind: Counter},
		{Name: PermitIssuer, Kind: Gauge},
		{Name: AttemptsLeavingDomain, Kind: Counter, Labels: []string{"reason"}},
		{Name: CrossDomainTraffic, Kind: Counter, Unit: "By", Labels: []string{"direction", "purpose"}},
		{Name: CapacityLearnedServers, Kind: Gauge},
		{Name: CapacityChangedChoices, Kind: Counter},
		{Name: ConnectionsHeld, Kind: Gauge, Unit: "By", Labels: []string{"listener"}},
		{Name: ConnectionsLimited, Kind: Counter, Labels: []string{"listener"}},
		{Name: StreamsLimited, Kind: Counter},
	}
}

// BoolValue returns the value of a gauge that is 1 if the condition holds and 0 otherwise.
func BoolValue(set bool) int64 {
	if set {
		return 1
	}
	return 0
}
