package settings

import (
	"os"
	"reflect"

	"github.com/tailscale/hujson"
)

// MaxFileBytes bounds a settings file.
const MaxFileBytes = 1 << 20

// LoadEntry reads and checks the settings of an entry.
func LoadEntry(path string) (*Entry, error) {
	text, err := read(path)
	if err != nil {
		return nil, err
	}
	return parseEntry(path, text)
}

// LoadAgent reads and checks the settings of an agent.
func LoadAgent(path string) (*Agent, error) {
	text, err := read(path)
	if err != nil {
		return nil, err
	}
	return parseAgent(path, text)
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
	if role == RoleAgent {
		agent, err := parseAgent(path, text)
		if err != nil {
			return role, err
		}
		return role, checkFiles(agent.TLS.Nodes, agent.TLS.Operators)
	}
	entry, err := parseEntry(path, text)
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

func parseEntry(file string, text []byte) (*Entry, error) {
	entry := DefaultEntry()
	d, err := decode(file, text, reflect.ValueOf(&entry).Elem())
	if err != nil {
		return nil, err
	}
	if err := entry.validate(d.source); err != nil {
		return nil, err
	}
	return &entry, nil
}

func parseAgent(file string, text []byte) (*Agent, error) {
	agent := DefaultAgent()
	d, err := decode(file, text, reflect.ValueOf(&agent).Elem())
	if err != nil {
		return nil, err
	}
	if err := agent.validate(d.source); err != nil {
		return nil, err
	}
	return &agent, nil
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

// roleOf finds the role of a file whose other keys may be wrong.
func roleOf(file string, text []byte) (Role, error) {
	d := newDecoder(file, text)
	object, err := d.parse()
	if err != nil {
		return "", err
	}
	for i := range object.Members {
		member := &object.Members[i]
		literal, ok := member.Value.Value.(hujson.Literal)
		if member.Name.Value.(hujson.Literal).String() != "role" {
			continue
		}
		d.source.lines["role"] = d.line(member.Name.StartOffset)
		if ok && (literal.String() == string(RoleEntry) || literal.String() == string(RoleAgent)) {
			return Role(literal.String()), nil
		}
		d.wrong("role", &member.Value, `"entry" or "agent"`)
		return "", join(d.problems)
	}
	return "", MissingKey.New("%s: key \"role\" is missing; want \"entry\" or \"agent\"", file)
}
