package settings

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/ebonyworks/ebonyworks/jsonc"
)

type settingsWire struct {
	Host       string
	Domain     string
	Region     string `json:",omitempty"`
	Callers    addressWire
	Peers      addressWire
	Admin      addressWire `json:",omitzero"`
	Platform   addressWire
	Seeds      []addressWire `json:",omitempty"`
	TicketKeys []ticketKeyWire
	Traces     tracesWire     `json:",omitzero"`
	Limits     limitsWire     `json:",omitzero"`
	StopBound  jsonc.Duration `json:",omitzero"`
	Log        logWire        `json:",omitzero"`
	Policy     policyWire     `json:",omitzero"`
	Recording  string         `json:",omitempty"`
}

type ticketKeyWire struct {
	ID         string
	Secret     string `json:",omitempty"`
	SecretFile string `json:",omitempty"`
}

type tracesWire struct {
	Exporter exporterWire
	File     string `json:",omitempty"`
	Endpoint string `json:",omitempty"`
}

type limitsWire struct {
	BodyBytes           int `json:",omitempty"`
	HeaderBytes         int `json:",omitempty"`
	HeadLines           int `json:",omitempty"`
	MemoryMb            int `json:",omitempty"`
	CallerMemoryPercent int `json:",omitempty"`
	PeerMemoryPercent   int `json:",omitempty"`
	MaxDescriptors      int `json:",omitempty"`
}

type logWire struct {
	Output outputWire
	File   string `json:",omitempty"`
}

type addressWire netip.AddrPort

func (a *addressWire) UnmarshalText(text []byte) error {
	address, err := netip.ParseAddrPort(string(text))
	if err != nil || address.Port() == 0 {
		return fmt.Errorf("must be an IP address and port such as \"127.0.0.1:8080\", not %q", text)
	}
	*a = addressWire(address)
	return nil
}

type exporterWire TraceExporter

func (e *exporterWire) UnmarshalText(text []byte) error {
	switch string(text) {
	case "None":
		*e = exporterWire(TracesNone)
	case "Stdout":
		*e = exporterWire(TracesStdout)
	case "File":
		*e = exporterWire(TracesFile)
	case "OTLP":
		*e = exporterWire(TracesOTLP)
	default:
		return errors.New(`must be "None", "Stdout", "File" or "OTLP"`)
	}
	return nil
}

type outputWire LogOutput

func (o *outputWire) UnmarshalText(text []byte) error {
	switch string(text) {
	case "Stderr":
		*o = outputWire(LogStderr)
	case "Stdout":
		*o = outputWire(LogStdout)
	case "File":
		*o = outputWire(LogFile)
	default:
		return errors.New(`must be "Stderr", "Stdout" or "File"`)
	}
	return nil
}

type policyWire Policy

func (p *policyWire) UnmarshalText(text []byte) error {
	switch string(text) {
	case "Adaptive":
		*p = policyWire(PolicyAdaptive)
	case "RoundRobin":
		*p = policyWire(PolicyRoundRobin)
	case "LeastOutstanding":
		*p = policyWire(PolicyLeastOutstanding)
	case "FixedHedge":
		*p = policyWire(PolicyFixedHedge)
	default:
		return errors.New(`must be "Adaptive", "RoundRobin", "LeastOutstanding" or "FixedHedge"`)
	}
	return nil
}
