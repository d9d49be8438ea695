package main

// route is a route of the configuration.
type route struct {
	Name, Host, Prefix, RouteKind        string
	TimeoutMs, TargetLatencyMs, Priority int
	Service                              string   `json:",omitempty"`
	Gather                               []string `json:",omitempty"`
	MaxAttempts                          int
	TopK                                 int     `json:",omitempty"`
	LowerBound                           float64 `json:",omitempty"`
}

// serviceConfig is a service of the configuration.
type serviceConfig struct {
	Name, HealthPath string
	MaxConns         int
	Protocol         string
	Tls              bool
}

// limits are the limits of callers.
type limits struct{ HeaderBytes, BodyBytes, HeaderTimeoutMs, IdleTimeoutMs int }

// configuration is the value of op/config.
type configuration struct {
	Version  int
	Routes   []route
	Services []serviceConfig
	Limits   limits
}

// defaultLimits are those of the small deployments.
var defaultLimits = limits{16384, 262144, 3000, 15000}
