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
// paths of secret files are resolved against the directory of the settings file. The
// settings are valid only if there are no problems. Defaults are filled in.
func Load(path string) (Settings, []ebonyworks.Problem) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, []ebonyworks.Problem{{Message: "can't be read: " + fileErrorReason(err)}}
	}
	var wire settingsWire
	l := loader{directory: filepath.Dir(path)}
	l.problems = jsonc.Decode(text, &wire)
	// Decoded fields are validated even if decoding others failed, so that one run
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

// addProblem records a problem unless one is already recorded for the path or
// for a field that encloses it.
func (l *loader) addProblem(path, format string, arguments ...any) {
	for _, problem := range l.problems {
		if isWithin(path, problem.Path) {
			return
		}
	}
	problem := ebonyworks.Problem{Path: path, Message: fmt.Sprintf(format, arguments...)}
	l.problems = append(l.problems, problem)
}

func isWithin(path, outer string) bool {
	rest, ok := strings.CutPrefix(path, outer)
	return ok && (outer == "" || rest == "" || rest[0] == '.' || rest[0] == '[')
}

func (l *loader) settings(wire settingsWire) Settings {
	l.checkName("Host", wire.Host)
	l.checkName("Domain", wire.Domain)
	if wire.Region != "" {
		l.checkName("Region", wire.Region)
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
		l.addProblem("StopBound", "must not be negative, not %v", settings.StopBound)
	}
	l.checkDialable("Peers", settings.Peers)
	l.checkDialable("Platform", settings.Platform)
	l.checkListeners(settings)
	return settings
}

func (l *loader) checkName(path, name string) {
	switch {
	case name == "":
		l.addProblem(path, "must not be empty")
	case strings.TrimSpace(name) != name || strings.ContainsFunc(name, func(r rune) bool { return !unicode.IsPrint(r) }):
		l.addProblem(path, "must hold printable characters and no white space at its ends: %q", name)
	}
}

// checkDialable checks an address that other processes connect to.
func (l *loader) checkDialable(path string, address netip.AddrPort) {
	if address.Addr().IsUnspecified() {
		l.addProblem(path, "must name one address, not %v", address)
	}
}

// checkListeners checks that the host can listen on all its addresses.
func (l *loader) checkListeners(settings Settings) {
	if settings.Peers == settings.Callers {
		l.addProblem("Peers", "must differ from Callers, %v", settings.Callers)
	}
	if settings.Admin == (netip.AddrPort{}) {
		return
	}
	if settings.Admin == settings.Callers {
		l.addProblem("Admin", "must differ from Callers, %v", settings.Callers)
	}
	if settings.Admin == settings.Peers {
		l.addProblem("Admin", "must differ from Peers, %v", settings.Peers)
	}
}

func (l *loader) seeds(wire []addressWire) []netip.AddrPort {
	var seeds []netip.AddrPort
	for i, seed := range wire {
		l.checkDialable(jsonc.Index("Seeds", i), netip.AddrPort(seed))
		seeds = append(seeds, netip.AddrPort(seed))
	}
	return seeds
}

func (l *loader) ticketKeys(wire []ticketKeyWire) []TicketKey {
	if len(wire) == 0 {
		l.addProblem("TicketKeys", "must list at least one key")
	}
	var keys []TicketKey
	seen := make(map[string]bool)
	for i, key := range wire {
		path := jsonc.Index("TicketKeys", i)
		l.checkName(jsonc.Join(path, "ID"), key.ID)
		if seen[key.ID] {
			l.addProblem(jsonc.Join(path, "ID"), "key %q appears twice", key.ID)
		}
		seen[key.ID] = true
		keys = append(keys, TicketKey{ID: key.ID, Secret: l.secret(path, key)})
	}
	return keys
}

// secret returns the secret of a key. Messages state its size only.
func (l *loader) secret(path string, wire ticketKeyWire) Secret {
	value := []byte(wire.Secret)
	source := jsonc.Join(path, "Secret")
	switch {
	case wire.Secret != "" && wire.SecretFile != "":
		l.addProblem(path, "must have Secret or SecretFile, not both")
		return Secret{}
	case wire.SecretFile != "":
		source = jsonc.Join(path, "SecretFile")
		var err error
		value, err = os.ReadFile(l.resolvePath(wire.SecretFile))
		if err != nil {
			l.addProblem(source, "%q can't be read: %s", wire.SecretFile, fileErrorReason(err))
			return Secret{}
		}
		value = bytes.TrimRight(value, "\r\n")
	case wire.Secret == "":
		// The decoder has reported a field of the wrong type.
		for _, problem := range l.problems {
			if isWithin(problem.Path, path) && problem.Path != jsonc.Join(path, "ID") {
				return Secret{}
			}
		}
		l.addProblem(path, "must have Secret or SecretFile")
		return Secret{}
	}
	if len(value) < MinSecretBytes {
		l.addProblem(source, "must have at least %d bytes, not %d", MinSecretBytes, len(value))
	}
	return NewSecret(value)
}

func (l *loader) resolvePath(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(l.directory, path)
}

func (l *loader) traces(wire tracesWire) Traces {
	traces := Traces{Exporter: TraceExporter(wire.Exporter), File: wire.File, Endpoint: wire.Endpoint}
	l.checkConditional("Traces.File", "Traces.Exporter", "File", traces.Exporter == TracesFile, traces.File)
	l.checkConditional("Traces.Endpoint", "Traces.Exporter", "OTLP", traces.Exporter == TracesOTLP, traces.Endpoint)
	if traces.Endpoint == "" {
		return traces
	}
	// The URL isn't quoted, since it may hold a password.
	endpoint, err := url.Parse(traces.Endpoint)
	switch {
	case err != nil || (endpoint.Scheme != "http" && endpoint.Scheme != "https") || endpoint.Host == "":
		l.addProblem("Traces.Endpoint", "must be a URL such as \"http://127.0.0.1:4318\"")
	case endpoint.User != nil:
		l.addProblem("Traces.Endpoint", "must not hold a user or password")
	}
	return traces
}

// checkConditional checks a field that must be set exactly if another field,
// the selector, has the given value.
func (l *loader) checkConditional(path, selector, name string, selected bool, value string) {
	if selected && value == "" {
		l.addProblem(path, "is needed if %s is %q", selector, name)
	}
	if !selected && value != "" {
		l.addProblem(path, "is allowed only if %s is %q", selector, name)
	}
}

func (l *loader) limits(wire limitsWire) Limits {
	l.checkNotNegative("Limits.BodyBytes", wire.BodyBytes)
	l.checkNotNegative("Limits.HeaderBytes", wire.HeaderBytes)
	l.checkNotNegative("Limits.HeadLines", wire.HeadLines)
	l.checkNotNegative("Limits.MemoryMb", wire.MemoryMb)
	l.checkNotNegative("Limits.MaxDescriptors", wire.MaxDescriptors)
	l.checkPercent("Limits.CallerMemoryPercent", wire.CallerMemoryPercent)
	l.checkPercent("Limits.PeerMemoryPercent", wire.PeerMemoryPercent)
	return Limits(wire)
}

func (l *loader) checkPercent(path string, value int) {
	if value < 0 || value > 100 {
		l.addProblem(path, "must be from 0 to 100, not %d", value)
	}
}

func (l *loader) checkNotNegative(path string, value int) {
	if value < 0 {
		l.addProblem(path, "must not be negative, not %d", value)
	}
}

func (l *loader) log(wire logWire) Log {
	log := Log{Output: LogOutput(wire.Output), File: wire.File}
	l.checkConditional("Log.File", "Log.Output", "File", log.Output == LogFile, log.File)
	return log
}

// fileErrorReason returns the text of a file error without the path.
func fileErrorReason(err error) string {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err.Error()
	}
	return err.Error()
}
