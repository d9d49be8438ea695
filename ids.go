package ebonyworks

// HostID identifies an entry host; it stays the same over restarts of the process.
type HostID string

// Incarnation distinguishes the runs of one process. It grows with each restart.
type Incarnation uint64

// ServerID identifies a backend server.
type ServerID string

// ServiceID identifies a backend service, a set of servers that are replicas of
// each other.
type ServiceID string

// CatalogueID identifies a catalogue, a set of services that hold its shards.
type CatalogueID string

// ShardID identifies a shard within one partition of a catalogue.
type ShardID string

// RouteID identifies a route of the published configuration.
type RouteID string

// CustomerID identifies a customer: a quilting house or a fitting room.
type CustomerID string

// DomainID identifies a failure domain.
type DomainID string

// RegionID identifies a region, a set of failure domains.
type RegionID string

// RequestID identifies one request of a caller. All attempts of a request share
// it.
type RequestID string

// TicketID identifies a ticket, which permits one run of one reservation.
type TicketID string

// SnapshotNumber orders the snapshots of one catalogue; larger is newer.
// Zero stands for no snapshot.
type SnapshotNumber uint64

// PartitionEpoch numbers the partitions of one catalogue.
type PartitionEpoch uint64

// Revision numbers the published configurations; larger is newer.
type Revision uint64

// Fingerprint identifies requests with the same route and canonical body.
type Fingerprint uint64

// Percent is a share or a factor in percent.
type Percent int
