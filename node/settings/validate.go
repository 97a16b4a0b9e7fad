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

// Validate checks settings that were built in code. Problems are of type
// MissingKey or WrongValue.
func (e *Entry) Validate() error { return e.validate(source{}) }

// Validate checks settings that were built in code. Problems are of type
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
	v.announced("callers_address", e.CallersAddress, e.CallersListen)
	v.announced("nodes_address", e.NodesAddress, e.NodesListen)
	v.addresses("store_addresses", e.StoreAddresses, 1)
	v.addresses("join", e.Join, 0)
	v.tls("tls.callers", e.TLS.Callers)
	v.tls("tls.nodes", e.TLS.Nodes)
	v.tls("tls.operators", e.TLS.Operators)
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
	v.announced("nodes_address", a.NodesAddress, a.NodesListen)
	v.address("endpoint_address", a.EndpointAddress)
	v.addresses("join", a.Join, 1)
	v.number("slots", uint64(a.Slots), 1, MaxSlots)
	v.number("connections", uint64(a.Connections), 1, MaxConnections)
	v.number("cores", uint64(a.Cores), 1, MaxCores)
	v.number("memory_bytes", a.MemoryBytes, MinMemoryBytes, MaxMemoryBytes)
	v.tls("tls.nodes", a.TLS.Nodes)
	v.tls("tls.operators", a.TLS.Operators)
	v.duration("drain_timeout", a.DrainTimeout, MinDrainTimeout, MaxDrainTimeout)
	v.level("log_level", a.LogLevel)
	v.oneOf("log_format", a.LogFormat, LogJSON, LogText)
	v.oneOf("preset", a.Preset, preset.NameResponse, preset.NameMessages)
	return join(v.problems)
}

// validator collects what is out of range.
type validator struct {
	source   source
	problems []error
}

func (v *validator) wrong(key, value, allowed string) {
	v.problems = append(v.problems, WrongValue.New("%skey %q is %s; allowed: %s",
		v.source.at(key), key, value, allowed))
}

// present reports an empty value: as missing, or as wrong where the file has
// the key.
func (v *validator) present(key string, empty bool, allowed string) bool {
	switch {
	case !empty:
		return true
	case v.source.lines[key] != 0:
		v.wrong(key, "empty or zero", allowed)
	default:
		v.problems = append(v.problems, MissingKey.New("%skey %q is missing; allowed: %s",
			v.source.at(key), key, allowed))
	}
	return false
}

func (v *validator) name(key, value string) {
	if !v.present(key, value == "", allowedName) {
		return
	}
	if len(value) > maxNameLength || !namePattern.MatchString(value) {
		v.wrong(key, quote(value), allowedName)
	}
}

func (v *validator) text(key, value string) {
	if !v.present(key, value == "", allowedDomain) {
		return
	}
	hidden := func(r rune) bool { return !unicode.IsPrint(r) }
	if len(value) > maxNameLength || !utf8.ValidString(value) || slices.ContainsFunc([]rune(value), hidden) {
		v.wrong(key, quote(value), allowedDomain)
	}
}

func (v *validator) listen(key, value string) {
	if !v.present(key, value == "", allowedListen) {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		v.wrong(key, quote(value), allowedListen)
	}
}

// address checks one that is dialled.
func (v *validator) address(key, value string) {
	if !v.present(key, value == "", allowedAddress) {
		return
	}
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		v.wrong(key, quote(value), allowedAddress)
	}
}

// announced checks the address that others are told. The bound one serves,
// unless it is bound to every interface: peers that dial 0.0.0.0 reach
// themselves, and the process looks dead to all of them.
func (v *validator) announced(key, value, listen string) {
	if value != "" {
		v.address(key, value)
		return
	}
	bound, err := netip.ParseAddrPort(listen)
	if err == nil && bound.Addr().IsUnspecified() {
		v.problems = append(v.problems, MissingKey.New(
			"%skey %q is missing, and the port is bound to %s; allowed: %s",
			v.source.at(key), key, bound.Addr(), allowedAddress))
	}
}

func (v *validator) addresses(key string, values []string, least int) {
	allowed := fmt.Sprintf("%d to %d of %s, each once", least, maxAddresses, allowedAddress)
	if least > 0 && !v.present(key, len(values) == 0, allowed) {
		return
	}
	if len(values) > maxAddresses {
		v.wrong(key, fmt.Sprintf("%d addresses", len(values)), allowed)
		return
	}
	for i, value := range values {
		parsed, err := netip.ParseAddrPort(value)
		bad := err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified()
		if bad || slices.Contains(values[:i], value) {
			v.wrong(key, quote(value), allowed)
		}
	}
}

func (v *validator) number(key string, value, least, most uint64) {
	allowed := fmt.Sprintf("%d to %d", least, most)
	if !v.present(key, value == 0, allowed) {
		return
	}
	if value < least || value > most {
		v.wrong(key, fmt.Sprint(value), allowed)
	}
}

func (v *validator) duration(key string, value, least, most time.Duration) {
	if value < least || value > most {
		v.wrong(key, quote(value.String()), fmt.Sprintf("%q to %q", least, most))
	}
}

func (v *validator) level(key string, value slog.Level) {
	levels := []slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelWarn, slog.LevelError}
	if !slices.Contains(levels, value) {
		v.wrong(key, quote(value.String()), allowedLevels)
	}
}

func (v *validator) oneOf(key, value string, allowed ...string) {
	if slices.Contains(allowed, value) {
		return
	}
	v.wrong(key, quote(value), fmt.Sprintf("%q", allowed))
}

// tls checks a port's files: a certificate without its key, or a CA alone,
// would leave the port in plain text while its operator believes otherwise.
func (v *validator) tls(key string, files TLSFiles) {
	if !files.Enabled() {
		return
	}
	const allowed = "the PEM file's path, as the port's other TLS files are given"
	v.present(key+".cert", files.Cert == "", allowed)
	v.present(key+".key", files.Key == "", allowed)
}

func quote(s string) string {
	const most = 80
	if len(s) > most {
		return fmt.Sprintf("%q...", s[:most])
	}
	return fmt.Sprintf("%q", s)
}
