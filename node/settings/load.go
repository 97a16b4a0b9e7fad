package settings

import (
	"fmt"
	"os"
	"reflect"
	"slices"

	"github.com/tailscale/hujson"
)

// MaxFileBytes is the maximum size of a settings file.
const MaxFileBytes = 1 << 20

// LoadEntry reads and validates the settings of an entry.
func LoadEntry(path string) (*Entry, error) { return load(path, RoleEntry, DefaultEntry()) }

// LoadAgent reads and validates the settings of an agent.
func LoadAgent(path string) (*Agent, error) { return load(path, RoleAgent, DefaultAgent()) }

// LoadLeasedEntry reads and validates the settings of an entry for workers with
// leases.
func LoadLeasedEntry(path string) (*LeasedEntry, error) {
	return load(path, RoleLeasedEntry, DefaultLeasedEntry())
}

// LoadLeasedAgent reads and validates the settings of an agent beside a worker
// with leases.
func LoadLeasedAgent(path string) (*LeasedAgent, error) {
	return load(path, RoleLeasedAgent, DefaultLeasedAgent())
}

// validatable is the constraint of a pointer to the settings of one role.
type validatable[T any] interface {
	*T
	validate(from source) error
}

// load reads the file of a process with the given role. Keys that the file omits
// keep the values of defaults.
func load[T any, P validatable[T]](path string, role Role, defaults T) (*T, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	if err := checkRole(path, text, role); err != nil {
		return nil, err
	}
	return parse[T, P](path, text, defaults)
}

// parse decodes text on top of the defaults and validates the result. The file
// name is used in messages only.
func parse[T any, P validatable[T]](file string, text []byte, defaults T) (*T, error) {
	d, err := decode(file, text, reflect.ValueOf(&defaults).Elem())
	if err != nil {
		return nil, err
	}
	if err := P(&defaults).validate(d.source); err != nil {
		return nil, err
	}
	return &defaults, nil
}

// Check reads and validates a file of any role, including the TLS files that it
// refers to, and returns its role.
func Check(path string) (Role, error) {
	text, err := readFile(path)
	if err != nil {
		return "", err
	}
	role, err := roleOf(path, text)
	if err != nil {
		return "", err
	}
	switch role {
	case RoleLeasedEntry:
		_, err := parse(path, text, DefaultLeasedEntry())
		return role, err
	case RoleLeasedAgent:
		_, err := parse(path, text, DefaultLeasedAgent())
		return role, err
	case RoleAgent:
		agent, err := parse(path, text, DefaultAgent())
		if err != nil {
			return role, err
		}
		return role, checkFiles(agent.TLS.Nodes, agent.TLS.Operators)
	}
	entry, err := parse(path, text, DefaultEntry())
	if err != nil {
		return role, err
	}
	return role, checkFiles(entry.TLS.Callers, entry.TLS.Nodes, entry.TLS.Operators)
}

func checkFiles(ports ...TLSFiles) error {
	var problems []error
	for _, files := range ports {
		if _, err := files.ServerConfig(); err != nil {
			problems = append(problems, err)
		}
	}
	return join(problems)
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, Unreadable.Wrap(err, "settings")
	}
	if info.Size() > MaxFileBytes {
		return nil, Unreadable.New("settings %s: %d bytes; at most %d are allowed", path, info.Size(), MaxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Unreadable.Wrap(err, "settings")
	}
	return text, nil
}

// decode sets the fields of target from text. If any key or value can't be
// decoded, it returns an error before ranges are validated; otherwise a misspelt
// key would be reported a second time as missing.
func decode(file string, text []byte, target reflect.Value) (*decoder, error) {
	d := newDecoder(file, text)
	object, err := d.parse()
	if err != nil {
		return nil, err
	}
	d.decodeObject(object, "", target)
	if len(d.problems) > 0 {
		return nil, join(d.problems)
	}
	return d, nil
}

// checkRole rejects a file of another role with a single error; otherwise each
// of the keys specific to that role would be reported as unknown.
func checkRole(file string, text []byte, want Role) error {
	_, err := findRole(file, text, fmt.Sprintf("%q", want), want)
	return err
}

// roleOf returns the role of a file. The other keys need not be valid.
func roleOf(file string, text []byte) (Role, error) {
	return findRole(file, text, `"entry", "agent", "leased-entry" or "leased-agent"`,
		RoleEntry, RoleAgent, RoleLeasedEntry, RoleLeasedAgent)
}

// findRole returns the file's role if it is one of known. Otherwise it returns
// an error that lists the allowed roles.
func findRole(file string, text []byte, wanted string, known ...Role) (Role, error) {
	d := newDecoder(file, text)
	object, err := d.parse()
	if err != nil {
		return "", err
	}
	for i := range object.Members {
		member := &object.Members[i]
		if member.Name.Value.(hujson.Literal).String() != "role" {
			continue
		}
		literal, ok := member.Value.Value.(hujson.Literal)
		if ok && slices.Contains(known, Role(literal.String())) {
			return Role(literal.String()), nil
		}
		d.source.lines["role"] = d.line(member.Name.StartOffset)
		d.addWrongValue("role", &member.Value, wanted)
		return "", join(d.problems)
	}
	return "", MissingKey.New("%s: key \"role\" is missing; want %s", file, wanted)
}
