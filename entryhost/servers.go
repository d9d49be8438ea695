package entryhost

import (
	"context"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// servers lists backend servers for searches and reservations.
type servers struct {
	host *Host
}

// Candidates returns the servers that may get new work.
func (s *servers) Candidates(service *ebonyworks.Service, route ebonyworks.Route) []ebonyworks.Candidate {
	// The register offers due probes to search routes only.
	route.Kind = ebonyworks.ReservationRoute
	return s.usable(service, route)
}

// FirstCandidates returns the servers that may get the first attempt at a
// shard. A slow server whose probe is due is offered as the fastest.
func (s *servers) FirstCandidates(service *ebonyworks.Service, route ebonyworks.Route) []ebonyworks.Candidate {
	return s.usable(service, route)
}

func (s *servers) usable(service *ebonyworks.Service, route ebonyworks.Route) []ebonyworks.Candidate {
	h := s.host
	all := h.register.Candidates(service, route, h.options.Self.Domain, h.quota)
	usable := all[:0]
	for _, candidate := range all {
		if !h.departures.Draining(candidate.Server.ID) {
			usable = append(usable, candidate)
		}
	}
	return usable
}

// Incarnation returns the last known incarnation of a server, or zero.
func (s *servers) Incarnation(server ebonyworks.ServerID) ebonyworks.Incarnation {
	return s.host.register.Incarnation(server)
}

// Observe learns from an ended attempt.
func (s *servers) Observe(record ebonyworks.AttemptRecord) { s.host.observe(record) }

// observe passes on what an attempt taught about a server. A refused connection
// stays with this host: a partition or the connection cap can cause it, and
// other hosts may reach the server.
func (h *Host) observe(record ebonyworks.AttemptRecord) {
	h.register.Observe(record)
	h.departures.Observe(record.Report)
	if record.Result == ebonyworks.AttemptDraining && record.Report.Incarnation == 0 {
		h.departures.ObserveGoAway(record.Server)
	}
}

// observedBackend learns from the replies to reservations.
type observedBackend struct {
	ebonyworks.Backend
	host *Host
}

// Reserve runs a reservation on one server.
func (b observedBackend) Reserve(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server, reservation ebonyworks.SubReservation) ebonyworks.SubReservationReply {
	start := time.Now()
	confirmation := b.Backend.Reserve(ctx, service, server, reservation)
	record := ebonyworks.AttemptRecord{
		Service: service.ID,
		Server:  server.ID,
		Result:  confirmation.Result,
		Latency: time.Since(start),
		Report:  confirmation.Report,
	}
	b.host.observe(record)
	b.host.catalogue.Observe(confirmation.Report)
	if b.host.options.Observer != nil {
		b.host.options.Observer.AttemptEnded(record)
	}
	return confirmation
}

// editions returns the configuration in force.
type editions struct {
	host *Host
}

// Current returns the configuration in force.
func (e editions) Current() (*ebonyworks.Configuration, bool) {
	return e.host.edition.Current(), e.host.bulletin.Stale()
}

// hosts tells reservations about the members.
type hosts struct {
	host *Host
}

// Host returns the newest known incarnation of a host.
func (h hosts) Host(id ebonyworks.HostID) (ebonyworks.Host, bool) {
	for _, member := range h.host.guild.Members() {
		if member.Host.ID == id {
			return member.Host, true
		}
	}
	return ebonyworks.Host{}, false
}

// Peers returns the other hosts that are thought to be alive.
func (h hosts) Peers() []ebonyworks.Host { return h.host.guild.Alive() }
