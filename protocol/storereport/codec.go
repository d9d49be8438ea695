// Package storereport encodes a host's copy of the platform's store, for the hosts
// that fetch the store's changes from it.
package storereport

import (
	"bytes"
	"compress/flate"
	"io"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-json-experiment/json"

	"github.com/ebonyworks/ebonyworks"
)

type wireListing struct {
	AsOf          uint64
	Configuration *wireConfiguration `json:",omitzero"`
	Registrations []wireRegistration
	Removals      []wireRemoval    `json:",omitempty"`
	Evacuations   []wireEvacuation `json:",omitempty"`
	// Held isn't part of Evacuations, because hosts of versions without this field would
	// obey it without an end.
	Held []wireHeldEvacuation `json:",omitempty"`
}

type wireHeldEvacuation struct {
	StoreRevision  uint64
	Domain         string
	Active         bool `json:",omitzero"`
	ContradictedBy uint64
	RemainingMs    int64
}

type wireEvacuation struct {
	StoreRevision uint64
	Domain        string
	Active        bool `json:",omitzero"`
}

type wireRemoval struct {
	StoreRevision uint64
	Server        string
}

type wireConfiguration struct {
	StoreRevision   uint64
	Revision        uint64
	Routes          []wireRoute
	Services        []wireService
	HeaderBytes     int
	BodyBytes       int
	HeaderTimeoutMs int64
	IdleTimeoutMs   int64
}

type wireRoute struct {
	ID              string
	Host            string
	Prefix          string
	Idempotent      bool
	TimeoutMs       int64
	TargetLatencyMs int64
	Priority        int
	MaxAttempts     int
	Backends        []wireBackend `json:",omitempty"`
	Shards          []string      `json:",omitempty"`
	TopRecords      int           `json:",omitzero"`
	MinCoverage     float64       `json:",omitzero"`
}

type wireBackend struct {
	Service string
	Weight  float64
}

type wireService struct {
	ID            string
	ConnectionCap int
	WarmupMs      int64   `json:",omitzero"`
	WarmupPerS    float64 `json:",omitzero"`
}

type wireRegistration struct {
	StoreRevision uint64
	Server        string
	Address       netip.AddrPort
	Domain        string
	Service       string
	Incarnation   uint64
	Sequence      uint64
	Slots         int
	Leaving       bool  `json:",omitzero"`
	WarmupMs      int64 `json:",omitzero"`
	WithheldMs    int64 `json:",omitzero"`
}

const (
	// maxDecodedBytes is the limit of the decompressed size in bytes. It allows for a
	// configuration of 1 MiB, the largest value of the store, and 2,400 registrations
	// of 300 bytes, doubled in case another encoding needs more.
	maxDecodedBytes = 4 << 20
	// minCompressBytes is the size in bytes from which an encoded listing is
	// compressed.
	minCompressBytes = 2 << 10
	// plainFormat and compressedFormat are the values of the first byte, which tells
	// whether the rest is compressed.
	plainFormat      = 0
	compressedFormat = 1
)

var errTooLarge = errors.New("store listing is too large")

// Encode encodes a store listing.
func Encode(listing ebonyworks.StoreListing) ([]byte, error) {
	wire := wireListing{AsOf: uint64(listing.AsOf)}
	for _, change := range listing.Changes {
		switch {
		case change.Configuration != nil:
			wire.Configuration = fromConfiguration(change)
		case change.Registration != nil:
			wire.Registrations = append(wire.Registrations, fromRegistration(change))
		case change.Removed != "":
			wire.Removals = append(wire.Removals, wireRemoval{StoreRevision: uint64(change.Revision), Server: string(change.Removed)})
		case change.Evacuation != nil:
			wire.Evacuations = append(wire.Evacuations, wireEvacuation{
				StoreRevision: uint64(change.Revision),
				Domain:        string(change.Evacuation.Domain),
				Active:        change.Evacuation.Active,
			})
		}
	}
	for _, held := range listing.Held {
		wire.Held = append(wire.Held, wireHeldEvacuation{
			StoreRevision:  uint64(held.Revision),
			Domain:         string(held.Domain),
			Active:         held.Active,
			ContradictedBy: uint64(held.ContradictedBy),
			RemainingMs:    held.Remaining.Milliseconds(),
		})
	}
	encoded, err := json.Marshal(wire)
	if err != nil {
		return nil, errors.Wrap(err, "encode bundle")
	}
	return compress(encoded)
}

// compress prepends the format byte, and compresses the encoded listing if it has at
// least minCompressBytes.
func compress(encoded []byte) ([]byte, error) {
	if len(encoded) < minCompressBytes {
		return append([]byte{plainFormat}, encoded...), nil
	}
	compressed := bytes.NewBuffer([]byte{compressedFormat})
	writer, err := flate.NewWriter(compressed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress bundle")
	}
	if _, err := writer.Write(encoded); err != nil {
		return nil, errors.Wrap(err, "compress bundle")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress bundle")
	}
	return compressed.Bytes(), nil
}

// decompress reverses compress. It returns an error if the result is larger than
// maxDecodedBytes.
func decompress(compressed []byte) ([]byte, error) {
	if len(compressed) == 0 {
		return nil, errors.New("store listing is empty")
	}
	content := compressed[1:]
	if compressed[0] == compressedFormat {
		var err error
		content, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(content)), maxDecodedBytes+1))
		if err != nil {
			return nil, errors.Wrap(err, "decompress store listing")
		}
	}
	if len(content) > maxDecodedBytes {
		return nil, errTooLarge
	}
	return content, nil
}

// Decode decodes a store listing that Encode returned.
func Decode(encoded []byte) (ebonyworks.StoreListing, error) {
	content, err := decompress(encoded)
	if err != nil {
		return ebonyworks.StoreListing{}, err
	}
	var wire wireListing
	if err := json.Unmarshal(content, &wire); err != nil {
		return ebonyworks.StoreListing{}, errors.Wrap(err, "decode store listing")
	}
	listing := ebonyworks.StoreListing{AsOf: ebonyworks.StoreRevision(wire.AsOf)}
	if wire.Configuration != nil {
		listing.Changes = append(listing.Changes, wire.Configuration.change())
	}
	for i := range wire.Registrations {
		registration := &wire.Registrations[i]
		if registration.Server == "" || registration.Service == "" || !registration.Address.IsValid() {
			return ebonyworks.StoreListing{}, errors.New("a registration in the store listing lacks a field")
		}
		listing.Changes = append(listing.Changes, registration.change())
	}
	for _, removal := range wire.Removals {
		if removal.Server == "" {
			return ebonyworks.StoreListing{}, errors.New("a removal in the store listing lacks a field")
		}
		listing.Changes = append(listing.Changes, ebonyworks.StoreChange{
			Revision: ebonyworks.StoreRevision(removal.StoreRevision),
			Removed:  ebonyworks.ServerID(removal.Server),
		})
	}
	for _, evacuation := range wire.Evacuations {
		if evacuation.Domain == "" {
			return ebonyworks.StoreListing{}, errors.New("an evacuation in the store listing lacks a field")
		}
		listing.Changes = append(listing.Changes, ebonyworks.StoreChange{
			Revision:   ebonyworks.StoreRevision(evacuation.StoreRevision),
			Evacuation: &ebonyworks.Evacuation{Domain: ebonyworks.DomainID(evacuation.Domain), Active: evacuation.Active},
		})
	}
	for _, held := range wire.Held {
		if held.Domain == "" {
			return ebonyworks.StoreListing{}, errors.New("a held evacuation in the store listing lacks a field")
		}
		listing.Held = append(listing.Held, ebonyworks.HeldEvacuation{
			Evacuation:     ebonyworks.Evacuation{Domain: ebonyworks.DomainID(held.Domain), Active: held.Active},
			Revision:       ebonyworks.StoreRevision(held.StoreRevision),
			ContradictedBy: ebonyworks.StoreRevision(held.ContradictedBy),
			Remaining:      fromMilliseconds(held.RemainingMs),
		})
	}
	return listing, nil
}

func fromConfiguration(change ebonyworks.StoreChange) *wireConfiguration {
	configuration := change.Configuration
	wire := &wireConfiguration{
		StoreRevision:   uint64(change.Revision),
		Revision:        uint64(configuration.Revision),
		HeaderBytes:     configuration.Limits.HeaderBytes,
		BodyBytes:       configuration.Limits.BodyBytes,
		HeaderTimeoutMs: configuration.Limits.HeaderTimeout.Milliseconds(),
		IdleTimeoutMs:   configuration.Limits.IdleTimeout.Milliseconds(),
	}
	for i := range configuration.Routes {
		wire.Routes = append(wire.Routes, fromRoute(&configuration.Routes[i]))
	}
	for _, service := range configuration.Services {
		wire.Services = append(wire.Services, wireService{
			ID: string(service.ID), ConnectionCap: service.ConnectionCap,
			WarmupMs: service.Warmup.Milliseconds(), WarmupPerS: float64(service.WarmupRate),
		})
	}
	return wire
}

func fromRoute(route *ebonyworks.ForwardRoute) wireRoute {
	wire := wireRoute{
		ID:              string(route.ID),
		Host:            route.Host,
		Prefix:          route.Prefix,
		Idempotent:      route.Idempotent,
		TimeoutMs:       route.Timeout.Milliseconds(),
		TargetLatencyMs: route.TargetLatency.Milliseconds(),
		Priority:        route.Priority,
		MaxAttempts:     route.MaxAttempts,
		TopRecords:      route.TopRecords,
		MinCoverage:     route.MinCoverage,
	}
	for _, backend := range route.Backends {
		wire.Backends = append(wire.Backends, wireBackend{Service: string(backend.Service), Weight: backend.Weight})
	}
	for _, shard := range route.Shards {
		wire.Shards = append(wire.Shards, string(shard))
	}
	return wire
}

func fromRegistration(change ebonyworks.StoreChange) wireRegistration {
	registration := change.Registration
	return wireRegistration{
		StoreRevision: uint64(change.Revision),
		Server:        string(registration.Server.ID),
		Address:       registration.Server.Address,
		Domain:        string(registration.Server.Domain),
		Service:       string(registration.Service),
		Incarnation:   uint64(registration.Incarnation),
		Sequence:      registration.Sequence,
		Slots:         registration.Slots,
		Leaving:       registration.Draining,
		// The remaining time is rounded up, so that no host ends the warm-up early.
		WarmupMs:   (registration.Warmup + time.Millisecond - 1).Milliseconds(),
		WithheldMs: change.DeferredFor.Milliseconds(),
	}
}

func (w *wireConfiguration) change() ebonyworks.StoreChange {
	configuration := &ebonyworks.ForwardConfiguration{
		Revision: ebonyworks.Revision(w.Revision),
		Limits: ebonyworks.CallerLimits{
			HeaderBytes:   w.HeaderBytes,
			BodyBytes:     w.BodyBytes,
			HeaderTimeout: fromMilliseconds(w.HeaderTimeoutMs),
			IdleTimeout:   fromMilliseconds(w.IdleTimeoutMs),
		},
	}
	for i := range w.Routes {
		configuration.Routes = append(configuration.Routes, w.Routes[i].route())
	}
	for _, service := range w.Services {
		configuration.Services = append(configuration.Services, ebonyworks.ForwardService{
			ID:            ebonyworks.ServiceID(service.ID),
			ConnectionCap: service.ConnectionCap,
			Warmup:        fromMilliseconds(service.WarmupMs),
			WarmupRate:    ebonyworks.RequestRate(service.WarmupPerS),
		})
	}
	return ebonyworks.StoreChange{Revision: ebonyworks.StoreRevision(w.StoreRevision), Configuration: configuration}
}

func (w *wireRoute) route() ebonyworks.ForwardRoute {
	route := ebonyworks.ForwardRoute{
		ID:            ebonyworks.RouteID(w.ID),
		Host:          w.Host,
		Prefix:        w.Prefix,
		Idempotent:    w.Idempotent,
		Timeout:       fromMilliseconds(w.TimeoutMs),
		TargetLatency: fromMilliseconds(w.TargetLatencyMs),
		Priority:      w.Priority,
		MaxAttempts:   w.MaxAttempts,
		TopRecords:    w.TopRecords,
		MinCoverage:   w.MinCoverage,
	}
	for _, backend := range w.Backends {
		route.Backends = append(route.Backends, ebonyworks.WeightedService{Service: ebonyworks.ServiceID(backend.Service), Weight: backend.Weight})
	}
	for _, shard := range w.Shards {
		route.Shards = append(route.Shards, ebonyworks.ServiceID(shard))
	}
	return route
}

func (w *wireRegistration) change() ebonyworks.StoreChange {
	return ebonyworks.StoreChange{
		Revision:    ebonyworks.StoreRevision(w.StoreRevision),
		DeferredFor: fromMilliseconds(w.WithheldMs),
		Registration: &ebonyworks.Registration{
			Server:      ebonyworks.Server{ID: ebonyworks.ServerID(w.Server), Address: w.Address, Domain: ebonyworks.DomainID(w.Domain)},
			Service:     ebonyworks.ServiceID(w.Service),
			Incarnation: ebonyworks.Incarnation(w.Incarnation),
			Sequence:    w.Sequence,
			Slots:       w.Slots,
			Draining:    w.Leaving,
			Warmup:      fromMilliseconds(w.WarmupMs),
		},
	}
}

func fromMilliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }
