package ebonyworks

import (
	"context"
	"net/netip"
)

// Key names a value of the configuration service.
type Key string

// Version orders the values of one key as the service numbers them. Replicas
// of the service can answer with an older version after a newer one.
type Version uint64

// Value is a value of the configuration service.
type Value struct {
	Key     Key
	Version Version
	// Bytes are at most 1 MiB.
	Bytes []byte
}

// Platform reads the configuration service and the host list. Every call
// counts against the service's limit, a waiting watch as one.
type Platform interface {
	// Read returns the current value of the key as one replica knows it.
	Read(ctx context.Context, key Key) (Value, error)
	// Watch waits until the value of the key has a version after the given one,
	// or until the service ends the wait; then it returns the value it has.
	Watch(ctx context.Context, key Key, after Version) (Value, error)
	// Hosts returns the list of live and leaving hosts. The list lags.
	Hosts(ctx context.Context) ([]ListedHost, error)
}

// HostRole tells what runs on a listed host.
type HostRole int

const (
	// EntryRole is an entry host.
	EntryRole HostRole = iota
	// ServerRole is a backend server.
	ServerRole
)

// ListedHost is an entry of the platform's host list.
type ListedHost struct {
	// Name is a HostID or a ServerID, by the role.
	Name    string
	Role    HostRole
	Address netip.AddrPort
	Domain  DomainID
	Leaving bool
}

// Part is a named part of a configuration as it was published.
type Part struct {
	Name  string
	Bytes []byte
}

// Problem is one mistake in a document or in settings.
type Problem struct {
	// Place is the path to the field, such as "Routes[2].Catalogue".
	Place   string
	Message string
}

// Documents decodes and validates published configuration documents. The
// result depends on the bytes alone, so every host reaches the same verdict.
type Documents interface {
	// Head decodes a head.
	Head(bytes []byte) (Head, []Problem)
	// Assemble decodes the parts that the head lists and validates the whole.
	// The parts are in the order of the head and their digests match it.
	Assemble(mark Mark, head Head, parts []Part) (*Configuration, []Problem)
}
