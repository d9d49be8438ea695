package entryhost

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// maxReportWait is the longest time that a newly started host waits for the reports of
// servers before it becomes ready.
const maxReportWait = 3 * time.Second

// reasonFailing is the status reason of a server whose recent attempts failed.
const reasonFailing = "recent attempts failed; used only if no other server is left"

var _ ebonyworks.StatusReporter = (*Host)(nil)

// Ready reports whether the load balancer should send requests, and the reasons if not.
func (h *Host) Ready() (bool, []string) {
	var reasons []string
	if h.stopping.Load() {
		reasons = append(reasons, "the host is stopping")
	}
	reasons = append(reasons, h.configSync.Readiness().Reasons...)
	reasons = append(reasons, h.cluster.Readiness().Reasons...)
	if reason := h.unreportedReason(); reason != "" {
		reasons = append(reasons, reason)
	}
	return len(reasons) == 0, reasons
}

// unreportedReason returns a reason for not being ready while a newly started host has
// no report from any server of a service, or an empty string. Without reports, the host
// knows no snapshots.
func (h *Host) unreportedReason() string {
	configuration := h.activeConfig.Current()
	if configuration == nil || time.Since(time.Unix(0, h.started.Load())) > maxReportWait {
		return ""
	}
	for i := range configuration.Catalogues {
		for j := range configuration.Catalogues[i].Services {
			service := &configuration.Catalogues[i].Services[j]
			if !h.hasReport(service) {
				return "no server of service " + string(service.ID) + " has reported yet"
			}
		}
	}
	return ""
}

func (h *Host) hasReport(service *ebonyworks.Service) bool {
	for _, server := range service.Servers {
		if h.catalogue.Reported(server.ID) {
			return true
		}
	}
	return false
}

// Status returns this host's view of itself, its peers and the servers.
func (h *Host) Status() ebonyworks.HostStatus {
	ready, reasons := h.Ready()
	calls, _ := h.platform.Calls()
	status := ebonyworks.HostStatus{
		Host:          h.options.Self,
		Ready:         ready,
		Reasons:       reasons,
		Version:       h.activeConfig.Version(),
		Stale:         h.configSync.Stale(),
		Peers:         h.cluster.Members(),
		Unreachable:   h.unreachableHosts(),
		PlatformCalls: calls,
	}
	configuration := h.activeConfig.Current()
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

func (h *Host) unreachableHosts() []string {
	var names []string
	for _, member := range h.cluster.Members() {
		if member.State == ebonyworks.MemberSuspect || member.State == ebonyworks.MemberDead {
			names = append(names, string(member.Host.ID))
		}
	}
	return names
}

func (h *Host) serverStatus(service *ebonyworks.Service) []ebonyworks.ServerStatus {
	candidates := h.serverStates.Candidates(service, ebonyworks.Route{Kind: ebonyworks.ReservationRoute}, h.options.Self.Domain, h.quota)
	var statuses []ebonyworks.ServerStatus
	for _, server := range service.Servers {
		status := ebonyworks.ServerStatus{Service: service.ID, Server: server.ID, Reason: "the server is leaving"}
		for _, candidate := range candidates {
			if candidate.Server.ID == server.ID {
				status = h.candidateStatus(service, candidate)
			}
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func (h *Host) candidateStatus(service *ebonyworks.Service, candidate ebonyworks.Candidate) ebonyworks.ServerStatus {
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
	case h.drainStates.Draining(candidate.Server.ID):
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
