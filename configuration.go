package ebonyworks

import (
	"cmp"
	"net/netip"
	"time"
)

// Digest is the SHA-256 of a published value.
type Digest [32]byte

// ConfigurationVersion orders configurations: first by revision, then by the
// digest of the manifest. The zero value is older than every published version.
type ConfigurationVersion struct {
	Revision Revision
	Digest   Digest
}

// Compare returns a negative number if v is older than other, zero if they
// are equal, and a positive number otherwise.
func (v ConfigurationVersion) Compare(other ConfigurationVersion) int {
	if order := cmp.Compare(v.Revision, other.Revision); order != 0 {
		return order
	}
	for i := range v.Digest {
		if order := cmp.Compare(v.Digest[i], other.Digest[i]); order != 0 {
			return order
		}
	}
	return 0
}

// Manifest lists the parts of one configuration.
type Manifest struct {
	Revision Revision
	// Base is the version that this configuration was edited from. Its revision
	// is smaller than Revision.
	Base ConfigurationVersion
	// Parts are ordered by name, and names are unique.
	Parts []PartDigest
}

// PartDigest names a part of a configuration and the digest of its bytes.
type PartDigest struct {
	Name   string
	Digest Digest
}

// Configuration is one complete, validated configuration. It is immutable
// once it has been accepted.
type Configuration struct {
	Version ConfigurationVersion
	// Routes have unique ids and refer to existing catalogues.
	Routes []Route
	// Catalogues have unique ids.
	Catalogues []Catalogue
}

// Route returns the route with the given id.
func (c *Configuration) Route(id RouteID) (Route, bool) {
	for _, route := range c.Routes {
		if route.ID == id {
			return route, true
		}
	}
	return Route{}, false
}

// Catalogue returns the catalogue with the given id.
func (c *Configuration) Catalogue(id CatalogueID) (*Catalogue, bool) {
	for i := range c.Catalogues {
		if c.Catalogues[i].ID == id {
			return &c.Catalogues[i], true
		}
	}
	return nil, false
}

// ServerIDs returns the ids of all servers.
func (c *Configuration) ServerIDs() map[ServerID]bool {
	ids := make(map[ServerID]bool)
	for i := range c.Catalogues {
		for j := range c.Catalogues[i].Services {
			for _, server := range c.Catalogues[i].Services[j].Servers {
				ids[server.ID] = true
			}
		}
	}
	return ids
}

// RouteKind tells what a route accepts.
type RouteKind int

const (
	// SearchRoute accepts idempotent searches.
	SearchRoute RouteKind = iota
	// ReservationRoute accepts non-idempotent reservations.
	ReservationRoute
)

// AnswerPolicy tells whether a route prefers low latency or full coverage when
// it can't have both.
type AnswerPolicy int

const (
	// PreferLatency answers early and omits shards that aren't expected to reply
	// in time.
	PreferLatency AnswerPolicy = iota
	// PreferCoverage waits for missing shards until the deadline.
	PreferCoverage
)

// Route maps callers' requests to the services of one catalogue.
type Route struct {
	ID        RouteID
	Catalogue CatalogueID
	Kind      RouteKind
	Policy    AnswerPolicy
	// Domains are the failure domains whose servers the route may use. Empty
	// means all.
	Domains []DomainID
	// DefaultDeadline applies to requests without a deadline. It is positive and
	// at most MaxDeadline.
	DefaultDeadline time.Duration
	// MaxDeadline is the longest deadline that callers may set.
	MaxDeadline time.Duration
}

// Allows reports whether the route may use servers of the domain.
func (r Route) Allows(domain DomainID) bool {
	if len(r.Domains) == 0 {
		return true
	}
	for _, allowed := range r.Domains {
		if allowed == domain {
			return true
		}
	}
	return false
}

// Catalogue is a set of services and the partitions that map keys to them.
type Catalogue struct {
	ID CatalogueID
	// Services have unique ids.
	Services []Service
	// Partitions have unique epochs in increasing order.
	Partitions []Partition
}

// Partition returns the partition with the given epoch.
func (c *Catalogue) Partition(epoch PartitionEpoch) (Partition, bool) {
	for _, partition := range c.Partitions {
		if partition.Epoch == epoch {
			return partition, true
		}
	}
	return Partition{}, false
}

// Service returns the service with the given id.
func (c *Catalogue) Service(id ServiceID) (*Service, bool) {
	for i := range c.Services {
		if c.Services[i].ID == id {
			return &c.Services[i], true
		}
	}
	return nil, false
}

// Service is a set of replicas: backend servers that hold the same shards.
type Service struct {
	ID ServiceID
	// Servers have unique ids across the configuration.
	Servers []Server
	// Slots is the number of requests that one server runs at a time.
	Slots int
	// ConnectionCap is the number of connections that one server accepts from
	// all hosts together.
	ConnectionCap int
	// ConnectTime is the typical time to open a connection.
	ConnectTime time.Duration
}

// Server is one backend server.
type Server struct {
	ID      ServerID
	Address netip.AddrPort
	Domain  DomainID
}

// Partition divides the keys of a catalogue into shards.
type Partition struct {
	Epoch PartitionEpoch
	// Shards are ordered by key range; the ranges cover all keys and don't
	// overlap.
	Shards []Shard
}

// Overlapping returns the shards whose keys overlap the range.
func (p Partition) Overlapping(keys KeyRange) []Shard {
	var shards []Shard
	for _, shard := range p.Shards {
		if shard.Keys.Overlaps(keys) {
			shards = append(shards, shard)
		}
	}
	return shards
}

// Shard is a key range that one service holds.
type Shard struct {
	ID      ShardID
	Service ServiceID
	Keys    KeyRange
}

// KeyRange is the half-open range of keys from From up to To. An empty To
// means no upper bound, so the zero KeyRange holds all keys.
type KeyRange struct {
	From, To string
}

// Contains reports whether the key is in the range.
func (k KeyRange) Contains(key string) bool {
	return key >= k.From && (k.To == "" || key < k.To)
}

// Overlaps reports whether both ranges have keys in common.
func (k KeyRange) Overlaps(other KeyRange) bool {
	if k.To != "" && other.From >= k.To {
		return false
	}
	return other.To == "" || k.From < other.To
}

// SingleKey returns the range that holds only the given key.
func SingleKey(key string) KeyRange {
	return KeyRange{From: key, To: key + "\x00"}
}
