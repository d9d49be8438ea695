package scenario

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/jsonc"
	"github.com/ebonyworks/ebonyworks/load/workload"
)

type settingsWire struct {
	User            string
	MeanServiceTime jsonc.Duration
	ClientDelay     jsonc.Duration `json:",omitempty"`
	MaxOutstanding  int            `json:",omitempty"`
	Timeout         jsonc.Duration `json:",omitempty"`
	DistinctQueries int            `json:",omitempty"`
	Skew            decimal        `json:",omitempty"`
	Houses          []houseWire
	Routes          []routeWire
	Scenarios       []scenarioWire
}

type houseWire struct {
	Name   string
	Weight int
}

type routeWire struct {
	Name      string
	Weight    int
	SingleKey int      `json:",omitempty"`
	Filter    string   `json:",omitempty"`
	Values    []string `json:",omitempty"`
}

type scenarioWire struct {
	Name    string
	Prime   int            `json:",omitempty"`
	WarmUp  jsonc.Duration `json:",omitempty"`
	Phases  []phaseWire
	Faults  []faultWire  `json:",omitempty"`
	Resends []resendWire `json:",omitempty"`
	Setup   setupWire    `json:",omitzero"`
}

type setupWire struct {
	SnapshotPeriod jsonc.Duration `json:",omitempty"`
	ColdFactor     int            `json:",omitempty"`
	ColdTime       jsonc.Duration `json:",omitempty"`
	RestartHosts   jsonc.Duration `json:",omitempty"`
	KillHosts      string         `json:",omitempty"`
}

type phaseWire struct {
	Name     string
	Percent  int
	Duration jsonc.Duration
}

type resendWire struct {
	Route  string
	House  string
	Filter fieldWire
	At     jsonc.Duration `json:",omitempty"`
	Every  jsonc.Duration
}

type fieldWire struct {
	Name  string
	Value string
}

type faultWire struct {
	Kind     string
	At       jsonc.Duration `json:",omitempty"`
	For      jsonc.Duration `json:",omitempty"`
	Servers  selectorWire   `json:",omitzero"`
	Factor   int            `json:",omitempty"`
	Downtime jsonc.Duration `json:",omitempty"`
	Value    string         `json:",omitempty"`
	Report   string         `json:",omitempty"`
}

type selectorWire struct {
	Catalogue string `json:",omitempty"`
	Domain    string `json:",omitempty"`
	Replica   int    `json:",omitempty"`
	Services  string `json:",omitempty"`
}

// decimal is a number with a fraction, written as a string such as "1.1".
type decimal float64

// UnmarshalText reads a positive decimal number.
func (d *decimal) UnmarshalText(text []byte) error {
	value, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		return fmt.Errorf("must be a decimal number such as \"1.1\", not %q", text)
	}
	*d = decimal(value)
	return nil
}

// Decode reads and checks a settings file against the configuration of the
// deployment, and returns every mistake with its place.
func Decode(bytes []byte, configuration *ebonyworks.Configuration) (*Settings, []ebonyworks.Problem) {
	wire := settingsWire{
		ClientDelay:     jsonc.Duration(DefaultClientDelay),
		MaxOutstanding:  DefaultMaxOutstanding,
		DistinctQueries: DefaultDistinct,
		Skew:            DefaultSkew,
	}
	problems := jsonc.Decode(bytes, &wire)
	if problems != nil {
		return nil, problems
	}
	c := checker{configuration: configuration, wire: wire}
	c.settings()
	if c.problems != nil {
		return nil, c.problems
	}
	return wire.domain(configuration), nil
}

func (w settingsWire) domain(configuration *ebonyworks.Configuration) *Settings {
	settings := &Settings{
		User:            w.User,
		MeanServiceTime: time.Duration(w.MeanServiceTime),
		ClientDelay:     time.Duration(w.ClientDelay),
		MaxOutstanding:  w.MaxOutstanding,
		Timeout:         time.Duration(w.Timeout),
		Mix:             workload.Mix{Distinct: w.DistinctQueries, Skew: float64(w.Skew)},
	}
	for _, house := range w.Houses {
		settings.Mix.Houses = append(settings.Mix.Houses, workload.House{ID: ebonyworks.CustomerID(house.Name), Weight: house.Weight})
	}
	for _, route := range w.Routes {
		known, _ := configuration.Route(ebonyworks.RouteID(route.Name))
		settings.Mix.Routes = append(settings.Mix.Routes, workload.Route{
			ID:        known.ID,
			Kind:      known.Kind,
			Weight:    route.Weight,
			SingleKey: route.SingleKey,
			Filter:    route.Filter,
			Values:    route.Values,
		})
	}
	for _, scenario := range w.Scenarios {
		settings.Scenarios = append(settings.Scenarios, scenario.domain())
	}
	return settings
}

func (w scenarioWire) domain() Scenario {
	scenario := Scenario{
		Name:   w.Name,
		Prime:  w.Prime,
		WarmUp: time.Duration(w.WarmUp),
		Setup: Setup{
			SnapshotPeriod: time.Duration(w.Setup.SnapshotPeriod),
			ColdFactor:     w.Setup.ColdFactor,
			ColdTime:       time.Duration(w.Setup.ColdTime),
			RestartHosts:   time.Duration(w.Setup.RestartHosts),
			KillHosts:      ebonyworks.DomainID(w.Setup.KillHosts),
		},
	}
	for _, phase := range w.Phases {
		scenario.Phases = append(scenario.Phases, Phase{
			Name:     phase.Name,
			Percent:  phase.Percent,
			Duration: time.Duration(phase.Duration),
		})
	}
	for _, fault := range w.Faults {
		scenario.Faults = append(scenario.Faults, fault.domain())
	}
	for _, resend := range w.Resends {
		scenario.Resends = append(scenario.Resends, Resend{
			Route:  ebonyworks.RouteID(resend.Route),
			House:  ebonyworks.CustomerID(resend.House),
			Filter: ebonyworks.Field{Name: resend.Filter.Name, Value: resend.Filter.Value},
			At:     time.Duration(resend.At),
			Every:  time.Duration(resend.Every),
		})
	}
	return scenario
}

func (w faultWire) domain() Fault {
	return Fault{
		Kind: FaultKind(w.Kind),
		At:   time.Duration(w.At),
		For:  time.Duration(w.For),
		Servers: Selector{
			Catalogue: ebonyworks.CatalogueID(w.Servers.Catalogue),
			Domain:    ebonyworks.DomainID(w.Servers.Domain),
			Replica:   w.Servers.Replica,
			Services:  Parity(w.Servers.Services),
		},
		Factor:   w.Factor,
		Downtime: time.Duration(w.Downtime),
		Value:    w.Value,
		Report:   Report(w.Report),
	}
}
