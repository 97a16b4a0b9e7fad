package settings

import (
	"fmt"
	"os"
	"reflect"
	"slices"

	"github.com/tailscale/hujson"
)

// MaxFileBytes bounds a settings file.
const MaxFileBytes = 1 << 20

// LoadEntry reads and checks the settings of an entry.
func LoadEntry(path string) (*Entry, error) { return load(path, RoleEntry, DefaultEntry()) }

// LoadAgent reads and checks the settings of an agent.
func LoadAgent(path string) (*Agent, error) { return load(path, RoleAgent, DefaultAgent()) }

// LoadLeasedEntry reads and checks the settings of an entry for leased workers.
func LoadLeasedEntry(path string) (*LeasedEntry, error) {
	return load(path, RoleLeasedEntry, DefaultLeasedEntry())
}

// LoadLeasedAgent reads and checks the settings of an agent beside a leased worker.
func LoadLeasedAgent(path string) (*LeasedAgent, error) {
	return load(path, RoleLeasedAgent, DefaultLeasedAgent())
}

// checked is a pointer to the settings of one role.
type checked[T any] interface {
	*T
	validate(from source) error
}

// load reads a file of one role over its defaults.
func load[T any, P checked[T]](path string, role Role, defaults T) (*T, error) {
	text, err := read(path)
	if err != nil {
		return nil, err
	}
	if err := wantRole(path, text, role); err != nil {
		return nil, err
	}
	return parse[T, P](path, text, defaults)
}

// parse reads text over the defaults and checks the whole.
func parse[T any, P checked[T]](file string, text []byte, defaults T) (*T, error) {
	d, err := decode(file, text, reflect.ValueOf(&defaults).Elem())
	if err != nil {
		return nil, err
	}
	if err := P(&defaults).validate(d.source); err != nil {
		return nil, err
	}
	return &defaults, nil
}

// Check reads a file of either role, checks it with the TLS files that it
// names, and returns its role.
func Check(path string) (Role, error) {
	text, err := read(path)
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
		if _, err := files.Server(); err != nil {
			problems = append(problems, err)
		}
	}
	return join(problems)
}

func read(path string) ([]byte, error) {
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

// decode fills target. With wrong keys, ranges are not checked: the value that
// stands under a misspelt key would be reported as missing as well.
func decode(file string, text []byte, target reflect.Value) (*decoder, error) {
	d := newDecoder(file, text)
	object, err := d.parse()
	if err != nil {
		return nil, err
	}
	d.object(object, "", target)
	if len(d.problems) > 0 {
		return nil, join(d.problems)
	}
	return d, nil
}

// wantRole refuses a file of the other role, whose keys would all seem unknown.
func wantRole(file string, text []byte, want Role) error {
	_, err := findRole(file, text, fmt.Sprintf("%q", want), want)
	return err
}

// roleOf finds the role of a file whose other keys may be wrong.
func roleOf(file string, text []byte) (Role, error) {
	return findRole(file, text, `"entry", "agent", "leased-entry" or "leased-agent"`,
		RoleEntry, RoleAgent, RoleLeasedEntry, RoleLeasedAgent)
}

// findRole returns the file's role if it is one of known, and otherwise an error
// that says what is wanted.
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
		d.wrong("role", &member.Value, wanted)
		return "", join(d.problems)
	}
	return "", MissingKey.New("%s: key \"role\" is missing; want %s", file, wanted)
}
