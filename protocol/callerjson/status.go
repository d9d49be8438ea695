package callerjson

import (
	"encoding/hex"
	"encoding/json"

	"github.com/ebonyworks/ebonyworks"
)

type wireReadiness struct {
	Ready   bool
	Reasons []string
}

type wireStatus struct {
	Host          string
	Incarnation   uint64
	Address       string
	Domain        string
	Region        string
	Ready         bool
	Reasons       []string
	Revision      uint64
	Digest        string
	Stale         bool
	PlatformCalls uint64
	Peers         []wirePeer
	Servers       []wireServer
	Unseen        []string
}

type wirePeer struct {
	Host        string
	Incarnation uint64
	Address     string
	Domain      string
	State       string
}

type wireServer struct {
	Service     string
	Server      string
	Incarnation uint64
	InUse       bool
	Reason      string
	InFlight    int
	Limit       int
	Latency     string
	Share       float64
}

// EncodeReadiness encodes whether the host is ready, and the reasons if it isn't.
func EncodeReadiness(ready bool, reasons []string) ([]byte, error) {
	return json.Marshal(wireReadiness{Ready: ready, Reasons: append([]string{}, reasons...)})
}

// EncodeStatus encodes a host's status: its configuration version and its view of
// the peers and the backend servers.
func EncodeStatus(status ebonyworks.HostStatus) ([]byte, error) {
	wire := wireStatus{
		Host:          string(status.Host.ID),
		Incarnation:   uint64(status.Host.Incarnation),
		Address:       status.Host.Address.String(),
		Domain:        string(status.Host.Domain),
		Region:        string(status.Host.Region),
		Ready:         status.Ready,
		Reasons:       append([]string{}, status.Reasons...),
		Revision:      uint64(status.Version.Revision),
		Digest:        hex.EncodeToString(status.Version.Digest[:]),
		Stale:         status.Stale,
		PlatformCalls: status.PlatformCalls,
		Peers:         make([]wirePeer, 0, len(status.Peers)),
		Servers:       make([]wireServer, 0, len(status.Servers)),
		Unseen:        append([]string{}, status.Unreachable...),
	}
	for _, peer := range status.Peers {
		wire.Peers = append(wire.Peers, wirePeer{
			Host:        string(peer.Host.ID),
			Incarnation: uint64(peer.Host.Incarnation),
			Address:     peer.Host.Address.String(),
			Domain:      string(peer.Host.Domain),
			State:       memberStateName(peer.State),
		})
	}
	for _, server := range status.Servers {
		wire.Servers = append(wire.Servers, wireServer{
			Service:     string(server.Service),
			Server:      string(server.Server),
			Incarnation: uint64(server.Incarnation),
			InUse:       server.InUse,
			Reason:      server.Reason,
			InFlight:    server.InFlight,
			Limit:       server.Limit,
			Latency:     server.Latency.String(),
			Share:       server.Share,
		})
	}
	return json.MarshalIndent(wire, "", "  ")
}

func memberStateName(state ebonyworks.MemberState) string {
	switch state {
	case ebonyworks.MemberAlive:
		return "Alive"
	case ebonyworks.MemberSuspect:
		return "Suspect"
	case ebonyworks.MemberDead:
		return "Dead"
	default:
		return "Left"
	}
}
