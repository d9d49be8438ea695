package configdoc

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/jsonc"
)

type manifestWire struct {
	Revision uint64
	Base     versionWire `json:",omitzero"`
	Parts    []partWire
}

type versionWire struct {
	Revision uint64
	Digest   digestWire
}

type partWire struct {
	Name   string
	Digest digestWire
}

type routesWire struct {
	Routes []routeWire
}

type routeWire struct {
	ID              string
	Catalogue       string
	Kind            kindWire
	Policy          policyWire `json:",omitempty"`
	Domains         []string   `json:",omitempty"`
	DefaultDeadline jsonc.Duration
	MaxDeadline     jsonc.Duration
}

type catalogueWire struct {
	ID         string
	Services   []serviceWire
	Partitions []partitionWire
}

type serviceWire struct {
	ID            string
	Slots         int
	ConnectionCap int
	ConnectTime   jsonc.Duration
	Servers       []serverWire
}

type serverWire struct {
	ID      string
	Address addressWire
	Domain  string
}

type partitionWire struct {
	Epoch  uint64
	Shards []shardWire
}

type shardWire struct {
	ID      string
	Service string
	Keys    keysWire
}

type keysWire struct {
	From string `json:",omitempty"`
	To   string `json:",omitempty"`
}

type hostsWire struct {
	Hosts []hostWire
}

type hostWire struct {
	Name    string
	Role    roleWire
	Address addressWire
	Domain  string
	Leaving bool `json:",omitempty"`
}

// digestWire is a digest, encoded as 64 lower-case hexadecimal digits.
type digestWire ebonyworks.Digest

func (d digestWire) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(d[:])), nil
}

func (d *digestWire) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return errors.New("must be a SHA-256 digest of 64 hexadecimal digits")
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return errors.New("must be a SHA-256 digest of 64 hexadecimal digits")
	}
	return nil
}

// addressWire is an IP address and port, encoded as "127.0.0.1:8080".
type addressWire netip.AddrPort

func (a addressWire) MarshalText() ([]byte, error) {
	return netip.AddrPort(a).MarshalText()
}

func (a *addressWire) UnmarshalText(text []byte) error {
	address, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return fmt.Errorf("must be an IP address and port such as \"127.0.0.1:8080\", not %q", text)
	}
	*a = addressWire(address)
	return nil
}

// kindWire is a RouteKind, encoded as "Search" or "Reservation".
type kindWire string

const (
	searchKind      kindWire = "Search"
	reservationKind kindWire = "Reservation"
)

func (k *kindWire) UnmarshalText(text []byte) error {
	*k = kindWire(text)
	if *k != searchKind && *k != reservationKind {
		return fmt.Errorf("must be \"Search\" or \"Reservation\", not %q", text)
	}
	return nil
}

// policyWire is an AnswerPolicy, encoded as "Latency" or "Coverage". It is empty for
// reservation routes.
type policyWire string

const (
	latencyPolicy  policyWire = "Latency"
	coveragePolicy policyWire = "Coverage"
)

func (p *policyWire) UnmarshalText(text []byte) error {
	*p = policyWire(text)
	if *p != latencyPolicy && *p != coveragePolicy {
		return fmt.Errorf("must be \"Latency\" or \"Coverage\", not %q", text)
	}
	return nil
}

// roleWire is a HostRole, encoded as "Entry" or "Server".
type roleWire string

const (
	entryRole  roleWire = "Entry"
	serverRole roleWire = "Server"
)

func (r *roleWire) UnmarshalText(text []byte) error {
	*r = roleWire(text)
	if *r != entryRole && *r != serverRole {
		return fmt.Errorf("must be \"Entry\" or \"Server\", not %q", text)
	}
	return nil
}
