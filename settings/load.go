package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"
	"unicode"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/jsonc"
)

// MinSecretBytes is the size of an HMAC-SHA256 key below which its strength
// is reduced.
const MinSecretBytes = 32

// Load reads the settings file and the secret files that it names. Relative
// paths of secret files start at the directory of the settings file. The
// settings are meaningful only without problems. Defaults are filled in.
func Load(path string) (Settings, []ebonyworks.Problem) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, []ebonyworks.Problem{{Message: "can't be read: " + cause(err)}}
	}
	var wire settingsWire
	l := loader{directory: filepath.Dir(path)}
	l.problems = jsonc.Decode(text, &wire)
	// What was read is checked even if other fields are wrong, so that one run
	// lists every mistake. Fields that were reported aren't reported again.
	settings := l.settings(wire)
	if l.problems != nil {
		return Settings{}, l.problems
	}
	return settings.WithDefaults(), nil
}

type loader struct {
	directory string
	problems  []ebonyworks.Problem
}

// add reports a problem unless one is known for the place or around it.
func (l *loader) add(place, format string, arguments ...any) {
	for _, problem := range l.problems {
		if within(place, problem.Path) {
			return
		}
	}
	problem := ebonyworks.Problem{Path: place, Message: fmt.Sprintf(format, arguments...)}
	l.problems = append(l.problems, problem)
}

func within(place, outer string) bool {
	rest, ok := strings.CutPrefix(place, outer)
	return ok && (outer == "" || rest == "" || rest[0] == '.' || rest[0] == '[')
}

func (l *loader) settings(wire settingsWire) Settings {
	l.name("Host", wire.Host)
	l.name("Domain", wire.Domain)
	if wire.Region != "" {
		l.name("Region", wire.Region)
	}
	settings := Settings{
		Host:       ebonyworks.HostID(wire.Host),
		Domain:     ebonyworks.DomainID(wire.Domain),
		Region:     ebonyworks.RegionID(wire.Region),
		Callers:    netip.AddrPort(wire.Callers),
		Peers:      netip.AddrPort(wire.Peers),
		Admin:      netip.AddrPort(wire.Admin),
		Platform:   netip.AddrPort(wire.Platform),
		Seeds:      l.seeds(wire.Seeds),
		TicketKeys: l.ticketKeys(wire.TicketKeys),
		Traces:     l.traces(wire.Traces),
		Limits:     l.limits(wire.Limits),
		Policy:     Policy(wire.Policy),
		StopBound:  time.Duration(wire.StopBound),
		Log:        l.log(wire.Log),
		Recording:  wire.Recording,
	}
	if settings.StopBound < 0 {
		l.add("StopBound", "must not be negative, not %v", settings.StopBound)
	}
	l.remote("Peers", settings.Peers)
	l.remote("Platform", settings.Platform)
	l.listeners(settings)
	return settings
}

func (l *loader) name(place, name string) {
	switch {
	case name == "":
		l.add(place, "must not be empty")
	case strings.TrimSpace(name) != name || strings.ContainsFunc(name, func(r rune) bool { return !unicode.IsPrint(r) }):
		l.add(place, "must hold printable characters and no white space at its ends: %q", name)
	}
}

// remote checks an address that others connect to.
func (l *loader) remote(place string, address netip.AddrPort) {
	if address.Addr().IsUnspecified() {
		l.add(place, "must name one address, not %v", address)
	}
}

// listeners checks that the host can listen on all its addresses.
func (l *loader) listeners(settings Settings) {
	if settings.Peers == settings.Callers {
		l.add("Peers", "must differ from Callers, %v", settings.Callers)
	}
	if settings.Admin == (netip.AddrPort{}) {
		return
	}
	if settings.Admin == settings.Callers {
		l.add("Admin", "must differ from Callers, %v", settings.Callers)
	}
	if settings.Admin == settings.Peers {
		l.add("Admin", "must differ from Peers, %v", settings.Peers)
	}
}

func (l *loader) seeds(wire []addressWire) []netip.AddrPort {
	var seeds []netip.AddrPort
	for i, seed := range wire {
		l.remote(jsonc.Index("Seeds", i), netip.AddrPort(seed))
		seeds = append(seeds, netip.AddrPort(seed))
	}
	return seeds
}

func (l *loader) ticketKeys(wire []ticketKeyWire) []TicketKey {
	if len(wire) == 0 {
		l.add("TicketKeys", "must list at least one key")
	}
	var keys []TicketKey
	seen := make(map[string]bool)
	for i, key := range wire {
		place := jsonc.Index("TicketKeys", i)
		l.name(jsonc.Join(place, "ID"), key.ID)
		if seen[key.ID] {
			l.add(jsonc.Join(place, "ID"), "key %q appears twice", key.ID)
		}
		seen[key.ID] = true
		keys = append(keys, TicketKey{ID: key.ID, Secret: l.secret(place, key)})
	}
	return keys
}

// secret returns the secret of a key. Messages state its size only.
func (l *loader) secret(place string, wire ticketKeyWire) Secret {
	value := []byte(wire.Secret)
	source := jsonc.Join(place, "Secret")
	switch {
	case wire.Secret != "" && wire.SecretFile != "":
		l.add(place, "must have Secret or SecretFile, not both")
		return Secret{}
	case wire.SecretFile != "":
		source = jsonc.Join(place, "SecretFile")
		var err error
		value, err = os.ReadFile(l.path(wire.SecretFile))
		if err != nil {
			l.add(source, "%q can't be read: %s", wire.SecretFile, cause(err))
			return Secret{}
		}
		value = bytes.TrimRight(value, "\r\n")
	case wire.Secret == "":
		// A wrongly typed field was reported by the decoder.
		for _, problem := range l.problems {
			if within(problem.Path, place) && problem.Path != jsonc.Join(place, "ID") {
				return Secret{}
			}
		}
		l.add(place, "must have Secret or SecretFile")
		return Secret{}
	}
	if len(value) < MinSecretBytes {
		l.add(source, "must have at least %d bytes, not %d", MinSecretBytes, len(value))
	}
	return NewSecret(value)
}

func (l *loader) path(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(l.directory, path)
}

func (l *loader) traces(wire tracesWire) Traces {
	traces := Traces{Exporter: TraceExporter(wire.Exporter), File: wire.File, Endpoint: wire.Endpoint}
	l.only("Traces.File", "Traces.Exporter", "File", traces.Exporter == TracesFile, traces.File)
	l.only("Traces.Endpoint", "Traces.Exporter", "OTLP", traces.Exporter == TracesOTLP, traces.Endpoint)
	if traces.Endpoint == "" {
		return traces
	}
	// The URL isn't quoted, since it may hold a password.
	endpoint, err := url.Parse(traces.Endpoint)
	switch {
	case err != nil || (endpoint.Scheme != "http" && endpoint.Scheme != "https") || endpoint.Host == "":
		l.add("Traces.Endpoint", "must be a URL such as \"http://127.0.0.1:4318\"")
	case endpoint.User != nil:
		l.add("Traces.Endpoint", "must not hold a user or password")
	}
	return traces
}

// only checks a field that belongs to one choice of another field.
func (l *loader) only(place, choice, name string, chosen bool, value string) {
	if chosen && value == "" {
		l.add(place, "is needed if %s is %q", choice, name)
	}
	if !chosen && value != "" {
		l.add(place, "is allowed only if %s is %q", choice, name)
	}
}

func (l *loader) limits(wire limitsWire) Limits {
	l.notNegative("Limits.BodyBytes", wire.BodyBytes)
	return Limits(wire)
}

func (l *loader) notNegative(place string, value int) {
	if value < 0 {
		l.add(place, "must not be negative, not %d", value)
	}
}

func (l *loader) log(wire logWire) Log {
	log := Log{Output: LogOutput(wire.Output), File: wire.File}
	l.only("Log.File", "Log.Output", "File", log.Output == LogFile, log.File)
	return log
}

// cause returns the reason of a file error without the path.
func cause(err error) string {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err.Error()
	}
	return err.Error()
}
