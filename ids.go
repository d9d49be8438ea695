package ebonyworks

// HostID names an entry host; it survives restarts of the process.
type HostID string

// Incarnation numbers the lives of one process. A restarted process has a
// larger number than every earlier life of it.
type Incarnation uint64

// ServerID names a backend server.
type ServerID string

// ServiceID names a backend service, a set of servers that are replicas of
// each other.
type ServiceID string

// CatalogueID names a catalogue, a set of services that hold its shards.
type CatalogueID string

// ShardID names a shard within one partition of a catalogue.
type ShardID string

// RouteID names a route that operators publish.
type RouteID string

// HouseID names a tenant: a quilting house or a fitting room.
type HouseID string

// DomainID names a failure domain.
type DomainID string

// RegionID names a region, a set of failure domains.
type RegionID string

// RequestID names one request of a caller. It is unique per request, not per
// attempt.
type RequestID string

// TicketID names the single permission to run one reservation.
type TicketID string

// SnapshotNumber orders the snapshots of one catalogue; larger is newer.
// Zero means that no snapshot is named.
type SnapshotNumber uint64

// PartitionEpoch numbers the partitions of one catalogue.
type PartitionEpoch uint64

// Revision numbers the published configurations; larger is newer.
type Revision uint64

// Fingerprint identifies requests with the same route and canonical body.
type Fingerprint uint64
