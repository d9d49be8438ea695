package entryhost

import (
	"context"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// serverLister lists the usable backend servers for searches and reservations.
type serverLister struct {
	host *Host
}

// Candidates returns the servers that may get a request.
func (s *serverLister) Candidates(service *ebonyworks.Service, route ebonyworks.Route) []ebonyworks.Candidate {
	// This prevents probes, since slow servers are offered for a probe only to search
	// routes.
	route.Kind = ebonyworks.ReservationRoute
	return s.usable(service, route)
}

// FirstCandidates returns the servers that may get the first attempt at a shard. A slow
// server that is due for a probe is listed as the fastest one.
func (s *serverLister) FirstCandidates(service *ebonyworks.Service, route ebonyworks.Route) []ebonyworks.Candidate {
	return s.usable(service, route)
}

func (s *serverLister) usable(service *ebonyworks.Service, route ebonyworks.Route) []ebonyworks.Candidate {
	h := s.host
	all := h.serverStates.Candidates(service, route, h.options.Self.Domain, h.quota)
	usable := all[:0]
	for _, candidate := range all {
		if !h.drainStates.Draining(candidate.Server.ID) {
			usable = append(usable, candidate)
		}
	}
	return usable
}

// Incarnation returns the last known incarnation of a server, or zero.
func (s *serverLister) Incarnation(server ebonyworks.ServerID) ebonyworks.Incarnation {
	return s.host.serverStates.Incarnation(server)
}

// Observe updates the state of a server from a finished attempt.
func (s *serverLister) Observe(record ebonyworks.AttemptRecord) { s.host.observe(record) }

// observe updates the server states and the gossiped drain states from a finished
// attempt. A refused connection isn't gossiped, because a network partition or the
// connection cap can cause it, and other hosts may still reach the server.
func (h *Host) observe(record ebonyworks.AttemptRecord) {
	h.serverStates.Observe(record)
	h.drainStates.Observe(record.Report)
	if record.Result == ebonyworks.AttemptDraining && record.Report.Incarnation == 0 {
		h.drainStates.ObserveGoAway(record.Server)
	}
}

// observedBackend is a Backend that updates the state of servers from their replies to
// reservations.
type observedBackend struct {
	ebonyworks.Backend
	host *Host
}

// Reserve runs a reservation on one server.
func (b observedBackend) Reserve(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server, reservation ebonyworks.SubReservation) ebonyworks.SubReservationReply {
	start := time.Now()
	reply := b.Backend.Reserve(ctx, service, server, reservation)
	record := ebonyworks.AttemptRecord{
		Service: service.ID,
		Server:  server.ID,
		Result:  reply.Result,
		Latency: time.Since(start),
		Report:  reply.Report,
	}
	b.host.observe(record)
	b.host.catalogue.Observe(reply.Report)
	if b.host.options.Observer != nil {
		b.host.options.Observer.AttemptEnded(record)
	}
	return reply
}

// configSource gives searches access to the active configuration.
type configSource struct {
	host *Host
}

// Current returns the active configuration and whether it may be stale.
func (c configSource) Current() (*ebonyworks.Configuration, bool) {
	return c.host.activeConfig.Current(), c.host.configSync.Stale()
}

// hostLister gives reservations access to the members of the cluster.
type hostLister struct {
	host *Host
}

// Host returns the host with its newest known incarnation.
func (h hostLister) Host(id ebonyworks.HostID) (ebonyworks.Host, bool) {
	for _, member := range h.host.cluster.Members() {
		if member.Host.ID == id {
			return member.Host, true
		}
	}
	return ebonyworks.Host{}, false
}

// Peers returns the other hosts that are considered alive.
func (h hostLister) Peers() []ebonyworks.Host { return h.host.cluster.Alive() }
