package configplan

import (
	"net/netip"
)

// DefaultFirstPort is the first port of the zero Addresses. It and the ports
// that follow are below the range from which Linux takes local ports.
const DefaultFirstPort = 21000

// Addresses numbers the addresses of servers.
type Addresses struct {
	// First is the address of the first server. The zero value means
	// 127.0.0.1 and DefaultFirstPort.
	First netip.AddrPort
	// PerHost gives each server the next IP address at the same port. Otherwise
	// each server gets the next port of the same IP address.
	PerHost bool
}

// At returns the address of the server with the index, counted from 0. It is
// invalid if the ports or IP addresses are exhausted.
func (a Addresses) At(index int) netip.AddrPort {
	first := a.First
	if first == (netip.AddrPort{}) {
		first = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), DefaultFirstPort)
	}
	if a.PerHost {
		address := first.Addr()
		for range index {
			address = address.Next()
		}
		return netip.AddrPortFrom(address, first.Port())
	}
	port := int(first.Port()) + index
	if port > 0xffff {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(first.Addr(), uint16(port))
}
