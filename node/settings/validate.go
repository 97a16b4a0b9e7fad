package settings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"regexp"
	"slices"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/papayahoist/papayahoist/dispatch/preset"
)

const (
	maxNameLength  = 64
	maxAddresses   = 64
	allowedLevels  = `"debug", "info", "warn" or "error"`
	allowedName    = `1 to 64 letters, digits, ".", "_" or "-", the first a letter or digit`
	allowedDomain  = "1 to 64 bytes of printable text"
	allowedListen  = `"ip:port"; host names are not resolved`
	allowedAddress = `"ip:port" that others can reach, port 1 to 65535; host names are not resolved`
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Validate validates settings that were constructed in code. Errors are of type
// MissingKey or WrongValue.
func (e *Entry) Validate() error { return e.validate(source{}) }

// Validate validates settings that were constructed in code. Errors are of type
// MissingKey or WrongValue.
func (a *Agent) Validate() error { return a.validate(source{}) }

func (e *Entry) validate(from source) error {
	v := validator{source: from}
	v.oneOf("role", string(e.Role), string(RoleEntry))
	v.name("name", e.Name)
	v.text("failure_domain", e.FailureDomain)
	v.listen("callers_listen", e.CallersListen)
	v.listen("nodes_listen", e.NodesListen)
	v.listen("operators_listen", e.OperatorsListen)
	v.advertised("callers_address", e.CallersAddress, e.CallersListen)
	v.advertised("nodes_address", e.NodesAddress, e.NodesListen)
	v.addresses("store_addresses", e.StoreAddresses, 1)
	v.addresses("join", e.Join, 0)
	v.tls("tls.callers", e.TLS.Callers)
	v.tls("tls.nodes", e.TLS.Nodes)
	v.tls("tls.operators", e.TLS.Operators)
	v.process(e.ProcessMemoryMB, e.Descriptors, "process_memory_mb")
	v.duration("drain_timeout", e.DrainTimeout, MinDrainTimeout, MaxDrainTimeout)
	v.level("log_level", e.LogLevel)
	v.oneOf("log_format", e.LogFormat, LogJSON, LogText)
	v.oneOf("preset", e.Preset, preset.NameResponse, preset.NameMessages)
	return join(v.problems)
}

func (a *Agent) validate(from source) error {
	v := validator{source: from}
	v.oneOf("role", string(a.Role), string(RoleAgent))
	v.name("name", a.Name)
	v.name("worker", a.Worker)
	v.name("rack", a.Rack)
	v.text("failure_domain", a.FailureDomain)
	v.listen("nodes_listen", a.NodesListen)
	v.listen("operators_listen", a.OperatorsListen)
	v.advertised("nodes_address", a.NodesAddress, a.NodesListen)
	v.address("endpoint_address", a.EndpointAddress)
	v.addresses("join", a.Join, 1)
	v.number("slots", uint64(a.Slots), 1, MaxSlots)
	v.number("connections", uint64(a.Connections), 1, MaxConnections)
	v.number("cores", uint64(a.Cores), 1, MaxCores)
	v.number("memory_bytes", a.MemoryBytes, MinMemoryBytes, MaxMemoryBytes)
	v.tls("tls.nodes", a.TLS.Nodes)
	v.tls("tls.operators", a.TLS.Operators)
	v.process(a.ProcessMemoryMB, a.Descriptors, "process_memory_mb")
	v.duration("drain_timeout", a.DrainTimeout, MinDrainTimeout, MaxDrainTimeout)
	v.level("log_level", a.LogLevel)
	v.oneOf("log_format", a.LogFormat, LogJSON, LogText)
	v.oneOf("preset", a.Preset, preset.NameResponse, preset.NameMessages)
	return join(v.problems)
}

// validator collects the problems of a settings struct.
type validator struct {
	source   source
	problems []error
}

func (v *validator) addWrongValue(key, value, allowed string) {
	v.problems = append(v.problems, WrongValue.New("%skey %q is %s; allowed: %s",
		v.source.position(key), key, value, allowed))
}

// required records an empty value as missing, or as a wrong value if the file
// contains the key. It reports whether the value is present.
func (v *validator) required(key string, empty bool, allowed string) bool {
	switch {
	case !empty:
		return true
	case v.source.lines[key] != 0:
		v.addWrongValue(key, "empty or zero", allowed)
	default:
		v.problems = append(v.problems, MissingKey.New("%skey %q is missing; allowed: %s",
			v.source.position(key), key, allowed))
	}
	return false
}

func (v *validator) name(key, value string) {
	if !v.required(key, value == "", allowedName) {
		return
	}
	if len(value) > maxNameLength || !namePattern.MatchString(value) {
		v.addWrongValue(key, quote(value), allowedName)
	}
}

func (v *validator) text(key, value string) {
	if !v.required(key, value == "", allowedDomain) {
		return
	}
	unprintable := func(r rune) bool { return !unicode.IsPrint(r) }
	if len(value) > maxNameLength || !utf8.ValidString(value) || slices.ContainsFunc([]rune(value), unprintable) {
		v.addWrongValue(key, quote(value), allowedDomain)
	}
}

func (v *validator) listen(key, value string) {
	if !v.required(key, value == "", allowedListen) {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		v.addWrongValue(key, quote(value), allowedListen)
	}
}

// ParseAddress parses an address that is dialed. Errors are of type WrongValue.
func ParseAddress(value string) (netip.AddrPort, error) {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		return netip.AddrPort{}, WrongValue.New("address is %s; allowed: %s", quote(value), allowedAddress)
	}
	return netip.AddrPortFrom(parsed.Addr().Unmap(), parsed.Port()), nil
}

// address checks an address that is dialed.
func (v *validator) address(key, value string) {
	if !v.required(key, value == "", allowedAddress) {
		return
	}
	if _, err := ParseAddress(value); err != nil {
		v.addWrongValue(key, quote(value), allowedAddress)
	}
}

// advertised checks the address that is advertised to others. It may be empty
// unless the port is bound to all interfaces: peers that dial 0.0.0.0 reach
// themselves, and consider this process dead.
func (v *validator) advertised(key, value, listen string) {
	if value != "" {
		v.address(key, value)
		return
	}
	bound, err := netip.ParseAddrPort(listen)
	if err == nil && bound.Addr().IsUnspecified() {
		v.problems = append(v.problems, MissingKey.New(
			"%skey %q is missing, and the port is bound to %s; allowed: %s",
			v.source.position(key), key, bound.Addr(), allowedAddress))
	}
}

func (v *validator) addresses(key string, values []string, minimum int) {
	allowed := fmt.Sprintf("%d to %d of %s, each once", minimum, maxAddresses, allowedAddress)
	if minimum > 0 && !v.required(key, len(values) == 0, allowed) {
		return
	}
	if len(values) > maxAddresses {
		v.addWrongValue(key, fmt.Sprintf("%d addresses", len(values)), allowed)
		return
	}
	for i, value := range values {
		if _, err := ParseAddress(value); err != nil || slices.Contains(values[:i], value) {
			v.addWrongValue(key, quote(value), allowed)
		}
	}
}

func (v *validator) number(key string, value, minimum, maximum uint64) {
	allowed := fmt.Sprintf("%d to %d", minimum, maximum)
	if !v.required(key, value == 0, allowed) {
		return
	}
	if value < minimum || value > maximum {
		v.addWrongValue(key, fmt.Sprint(value), allowed)
	}
}

func (v *validator) duration(key string, value, minimum, maximum time.Duration) {
	if value < minimum || value > maximum {
		v.addWrongValue(key, quote(value.String()), fmt.Sprintf("%q to %q", minimum, maximum))
	}
}

func (v *validator) level(key string, value slog.Level) {
	levels := []slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelWarn, slog.LevelError}
	if !slices.Contains(levels, value) {
		v.addWrongValue(key, quote(value.String()), allowedLevels)
	}
}

func (v *validator) oneOf(key, value string, allowed ...string) {
	if slices.Contains(allowed, value) {
		return
	}
	v.addWrongValue(key, quote(value), fmt.Sprintf("%q", allowed))
}

// tls checks the files of one port. A certificate without its key, or a CA alone,
// must not result in a plain-text port that its operator believes to be
// encrypted.
func (v *validator) tls(key string, files TLSFiles) {
	if !files.Enabled() {
		return
	}
	const allowed = "the path of a PEM file; cert and key are required if any TLS file of the port is set"
	v.required(key+".cert", files.Cert == "", allowed)
	v.required(key+".key", files.Key == "", allowed)
}

func quote(s string) string {
	const maxLength = 80
	if len(s) > maxLength {
		return fmt.Sprintf("%q...", s[:maxLength])
	}
	return fmt.Sprintf("%q", s)
}
