package scenario

import (
	"fmt"
	"regexp"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/jsonc"
)

// Bounds of settings. They keep a run within the time and memory of a test
// machine.
const (
	maxPercent     = 1000
	maxDuration    = 10 * time.Minute
	maxOutstanding = 100_000
	maxDistinct    = 100_000
)

// scenarioName matches names that can be used as a part of a file name.
var scenarioName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)

type checker struct {
	configuration *ebonyworks.Configuration
	wire          settingsWire
	problems      []ebonyworks.Problem
}

func (c *checker) add(place, format string, arguments ...any) {
	c.problems = append(c.problems, ebonyworks.Problem{Path: place, Message: fmt.Sprintf(format, arguments...)})
}

func (c *checker) text(place, text string) {
	if text == "" {
		c.add(place, "must not be empty")
	}
}

func (c *checker) between(place string, value, low, high int) {
	if value < low || value > high {
		c.add(place, "must be from %d to %d, not %d", low, high, value)
	}
}

func (c *checker) duration(place string, value jsonc.Duration, low time.Duration) {
	if d := time.Duration(value); d < low || d > maxDuration {
		c.add(place, "must be from %v to %v, not %v", low, maxDuration, d)
	}
}

func (c *checker) settings() {
	c.text("User", c.wire.User)
	c.duration("MeanServiceTime", c.wire.MeanServiceTime, time.Microsecond)
	c.duration("ClientDelay", c.wire.ClientDelay, 0)
	c.duration("Timeout", c.wire.Timeout, 0)
	c.between("MaxOutstanding", c.wire.MaxOutstanding, 1, maxOutstanding)
	c.between("DistinctQueries", c.wire.DistinctQueries, 1, maxDistinct)
	if c.wire.Skew <= 1 {
		c.add("Skew", "must be above 1, not %v", float64(c.wire.Skew))
	}
	c.houses()
	c.routes()
	c.scenarios()
}

func (c *checker) houses() {
	if len(c.wire.Houses) == 0 {
		c.add("Houses", "must list at least one house")
	}
	for i, house := range c.wire.Houses {
		place := jsonc.Index("Houses", i)
		c.text(jsonc.Join(place, "Name"), house.Name)
		c.between(jsonc.Join(place, "Weight"), house.Weight, 1, maxDistinct)
	}
}

func (c *checker) routes() {
	if len(c.wire.Routes) == 0 {
		c.add("Routes", "must list at least one route")
	}
	for i, route := range c.wire.Routes {
		place := jsonc.Index("Routes", i)
		c.between(jsonc.Join(place, "Weight"), route.Weight, 1, maxDistinct)
		known, ok := c.route(jsonc.Join(place, "Name"), route.Name)
		if !ok {
			continue
		}
		if known.Kind == ebonyworks.SearchRoute {
			c.text(jsonc.Join(place, "Filter"), route.Filter)
			c.between(jsonc.Join(place, "SingleKey"), route.SingleKey, 0, percent)
			continue
		}
		if route.Filter != "" || route.SingleKey != 0 || route.Values != nil {
			c.add(place, "Filter, Values and SingleKey belong to search routes")
		}
	}
}

func (c *checker) route(place, name string) (ebonyworks.Route, bool) {
	route, ok := c.configuration.Route(ebonyworks.RouteID(name))
	if !ok {
		c.add(place, "no route %q in the configuration", name)
	}
	return route, ok
}

func (c *checker) scenarios() {
	if len(c.wire.Scenarios) == 0 {
		c.add("Scenarios", "must list at least one scenario")
	}
	seen := make(map[string]bool)
	for i, scenario := range c.wire.Scenarios {
		place := jsonc.Index("Scenarios", i)
		name := jsonc.Join(place, "Name")
		if !scenarioName.MatchString(scenario.Name) {
			c.add(name, "must consist of lower-case letters, digits and hyphens, not %q", scenario.Name)
		}
		if seen[scenario.Name] {
			c.add(name, "scenario %q appears twice", scenario.Name)
		}
		seen[scenario.Name] = true
		c.scenario(place, scenario)
	}
}

func (c *checker) scenario(place string, scenario scenarioWire) {
	c.between(jsonc.Join(place, "Prime"), scenario.Prime, 0, percent)
	c.duration(jsonc.Join(place, "WarmUp"), scenario.WarmUp, 0)
	c.setup(jsonc.Join(place, "Setup"), scenario.Setup)
	phases := jsonc.Join(place, "Phases")
	if len(scenario.Phases) == 0 {
		c.add(phases, "must list at least one phase")
	}
	for i, phase := range scenario.Phases {
		inner := jsonc.Index(phases, i)
		c.text(jsonc.Join(inner, "Name"), phase.Name)
		c.between(jsonc.Join(inner, "Percent"), phase.Percent, 0, maxPercent)
		c.duration(jsonc.Join(inner, "Duration"), phase.Duration, time.Millisecond)
	}
	total := scenario.domain().Duration()
	for i, fault := range scenario.Faults {
		c.fault(jsonc.Index(jsonc.Join(place, "Faults"), i), fault, total)
	}
	for i, resend := range scenario.Resends {
		c.resend(jsonc.Index(jsonc.Join(place, "Resends"), i), resend, total)
	}
}

func (c *checker) setup(place string, setup setupWire) {
	c.duration(jsonc.Join(place, "SnapshotPeriod"), setup.SnapshotPeriod, 0)
	c.between(jsonc.Join(place, "ColdFactor"), setup.ColdFactor, 0, maxPercent)
	c.duration(jsonc.Join(place, "ColdTime"), setup.ColdTime, 0)
	c.duration(jsonc.Join(place, "RestartHosts"), setup.RestartHosts, 0)
	if domain := ebonyworks.DomainID(setup.KillHosts); len((Selector{Domain: domain}).Select(c.configuration)) == 0 {
		c.add(jsonc.Join(place, "KillHosts"), "no failure domain %q in the configuration", domain)
	}
}

func (c *checker) within(place string, at jsonc.Duration, total time.Duration) {
	if d := time.Duration(at); d < 0 || d >= total {
		c.add(place, "must be from 0s to before the end of the last phase at %v, not %v", total, d)
	}
}

func (c *checker) resend(place string, resend resendWire, total time.Duration) {
	route, ok := c.route(jsonc.Join(place, "Route"), resend.Route)
	if ok && route.Kind != ebonyworks.SearchRoute {
		c.add(jsonc.Join(place, "Route"), "must be a search route")
	}
	c.text(jsonc.Join(place, "House"), resend.House)
	c.text(jsonc.Join(place, "Filter.Name"), resend.Filter.Name)
	c.within(jsonc.Join(place, "At"), resend.At, total)
	c.duration(jsonc.Join(place, "Every"), resend.Every, time.Millisecond)
}

func (c *checker) fault(place string, fault faultWire, total time.Duration) {
	c.within(jsonc.Join(place, "At"), fault.At, total)
	c.duration(jsonc.Join(place, "For"), fault.For, 0)
	c.duration(jsonc.Join(place, "Downtime"), fault.Downtime, 0)
	c.selector(jsonc.Join(place, "Servers"), fault.domain().Servers)
	options := []struct {
		name string
		set  bool
		kind FaultKind
	}{
		{"Factor", fault.Factor > 0, Slow},
		{"Value", fault.Value != "", Crash},
		{"Report", fault.Report != "", Lie},
	}
	for _, option := range options {
		c.option(jsonc.Join(place, option.name), FaultKind(fault.Kind), option.set, option.kind)
	}
	switch Report(fault.Report) {
	case "", Idle, Busy:
	default:
		c.add(jsonc.Join(place, "Report"), "must be %q or %q, not %q", Idle, Busy, fault.Report)
	}
	c.kind(jsonc.Join(place, "Kind"), FaultKind(fault.Kind))
}

// option checks that the option is set for exactly the kind that needs it.
func (c *checker) option(place string, kind FaultKind, set bool, owner FaultKind) {
	switch {
	case kind == owner && !set:
		c.add(place, "must be set for a fault of the kind %s", kind)
	case set && kind != owner:
		c.add(place, "doesn't belong to a fault of the kind %q", kind)
	}
}

func (c *checker) kind(place string, kind FaultKind) {
	switch kind {
	case Slow, Freeze, Kill, Crash, Lie, Drain, Restart:
	default:
		c.add(place, "unknown kind %q", kind)
	}
}

func (c *checker) selector(place string, selector Selector) {
	switch selector.Services {
	case "", Odd, Even:
	default:
		c.add(jsonc.Join(place, "Services"), "must be %q or %q, not %q", Odd, Even, selector.Services)
		return
	}
	if len(selector.Select(c.configuration)) == 0 {
		c.add(place, "no server of the configuration matches")
	}
}
