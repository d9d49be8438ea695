package ebonyworks

import (
	"context"
	"net/netip"
)

// ConfigurationKey is the key of a value in the configuration service.
type ConfigurationKey string

// KeyVersion is the number that the service gives to each value of a key, in
// increasing order. Replicas of the service can answer with an older version
// after a newer one.
type KeyVersion uint64

// ConfigurationValue is a value in the configuration service.
type ConfigurationValue struct {
	Key     ConfigurationKey
	Version KeyVersion
	// Bytes are at most 1 MiB.
	Bytes []byte
}

// Platform reads the configuration service and the host list. Every call
// counts against the service's call limit; a watch counts as one call.
type Platform interface {
	// Read returns the value of the key that one replica of the service holds.
	Read(ctx context.Context, key ConfigurationKey) (ConfigurationValue, error)
	// Watch waits until the value of the key has a version after the given one,
	// or until the service ends the wait; then it returns the unchanged value.
	Watch(ctx context.Context, key ConfigurationKey, after KeyVersion) (ConfigurationValue, error)
	// Hosts returns the list of live and leaving hosts. The list lags behind their
	// actual state.
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
	// Name is a HostID or a ServerID, depending on the role.
	Name    string
	Role    HostRole
	Address netip.AddrPort
	Domain  DomainID
	Leaving bool
}

// ConfigurationPart is a named part of a configuration as it was published.
type ConfigurationPart struct {
	Name  string
	Bytes []byte
}

// Problem is a validation error in a document or in settings.
type Problem struct {
	// Path is the path of the field, such as "Routes[2].Catalogue".
	Path    string
	Message string
}

// ConfigurationDecoder decodes and validates published configuration documents.
// The result depends on the bytes alone, so that every host accepts or rejects
// the same documents.
type ConfigurationDecoder interface {
	// DecodeManifest decodes a manifest without its parts.
	DecodeManifest(bytes []byte) (Manifest, []Problem)
	// Assemble decodes the parts that the manifest lists and validates the whole
	// configuration. The parts are in the order of the manifest and match its
	// digests.
	Assemble(version ConfigurationVersion, manifest Manifest, parts []ConfigurationPart) (*Configuration, []Problem)
}
