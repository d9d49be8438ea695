package entryhost

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// reportWait bounds how long a new host waits for the reports of servers before
// it is ready.
const reportWait = 3 * time.Second

// reasonFailing is the reason of a server whose recent attempts failed.
const reasonFailing = "recent attempts failed; used only if no other server is left"

var _ ebonyworks.StatusReporter = (*Host)(nil)

// Ready reports whether the load balancer should send requests, and if not, why.
func (h *Host) Ready() (bool, []string) {
	var reasons []string
	if h.stopping.Load() {
		reasons = append(reasons, "the host is stopping")
	}
	reasons = append(reasons, h.bulletin.Readiness().Reasons...)
	reasons = append(reasons, h.guild.Readiness().Reasons...)
	if reason := h.unreported(); reason != "" {
		reasons = append(reasons, reason)
	}
	return len(reasons) == 0, reasons
}

// unreported returns a reason while a new host has heard from no server of a
// service. Without reports it knows no snapshots.
func (h *Host) unreported() string {
	configuration := h.edition.Current()
	if configuration == nil || time.Since(time.Unix(0, h.started.Load())) > reportWait {
		return ""
	}
	for i := range configuration.Catalogues {
		for j := range configuration.Catalogues[i].Services {
			service := &configuration.Catalogues[i].Services[j]
			if !h.anyReported(service) {
				return "no server of service " + string(service.ID) + " has reported yet"
			}
		}
	}
	return ""
}

func (h *Host) anyReported(service *ebonyworks.Service) bool {
	for _, server := range service.Servers {
		if h.catalogue.Reported(server.ID) {
			return true
		}
	}
	return false
}

// Status returns what the host believes.
func (h *Host) Status() ebonyworks.HostStatus {
	ready, reasons := h.Ready()
	calls, _ := h.meter.Calls()
	status := ebonyworks.HostStatus{
		Host:          h.options.Self,
		Ready:         ready,
		Reasons:       reasons,
		Version:       h.edition.Version(),
		Stale:         h.bulletin.Stale(),
		Peers:         h.guild.Members(),
		Unreachable:   h.unseen(),
		PlatformCalls: calls,
	}
	configuration := h.edition.Current()
	if configuration == nil {
		return status
	}
	for i := range configuration.Catalogues {
		for j := range configuration.Catalogues[i].Services {
			status.Servers = append(status.Servers, h.serverStatus(&configuration.Catalogues[i].Services[j])...)
		}
	}
	return status
}

func (h *Host) unseen() []string {
	var names []string
	for _, member := range h.guild.Members() {
		if member.State == ebonyworks.MemberSuspect || member.State == ebonyworks.MemberDead {
			names = append(names, string(member.Host.ID))
		}
	}
	return names
}

func (h *Host) serverStatus(service *ebonyworks.Service) []ebonyworks.ServerStatus {
	candidates := h.register.Candidates(service, ebonyworks.Route{Kind: ebonyworks.ReservationRoute}, h.options.Self.Domain, h.quota)
	var statuses []ebonyworks.ServerStatus
	for _, server := range service.Servers {
		status := ebonyworks.ServerStatus{Service: service.ID, Server: server.ID, Reason: "the server is leaving"}
		for _, candidate := range candidates {
			if candidate.Server.ID == server.ID {
				status = h.describe(service, candidate)
			}
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func (h *Host) describe(service *ebonyworks.Service, candidate ebonyworks.Candidate) ebonyworks.ServerStatus {
	status := ebonyworks.ServerStatus{
		Service:     service.ID,
		Server:      candidate.Server.ID,
		Incarnation: candidate.Incarnation,
		InUse:       true,
		Reason:      "in use",
		InFlight:    candidate.InFlight,
		Limit:       candidate.Limit,
		Latency:     candidate.Latency,
		Share:       candidate.Share,
	}
	switch {
	case h.departures.Draining(candidate.Server.ID):
		status.InUse = false
		status.Reason = "a peer or the host list says that the server is leaving"
	case candidate.Failing:
		status.InUse = false
		status.Reason = reasonFailing
	case candidate.Share < 1:
		status.Reason = "cold: its share of the traffic is ramping up"
	}
	return status
}
