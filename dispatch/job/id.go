// Package job holds the identity of jobs: which process can vouch for an id.
package job

import (
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("job")
	// ErrBadID is given for an id that no caller of the interface could have made.
	ErrBadID = Errors.NewType("bad_id")
)

const (
	// IncarnationLength is the length of an incarnation: 128 random bits in hex.
	IncarnationLength = 32
	// TokenPeriod is how long an entry hands out the same home token, at most.
	TokenPeriod = time.Minute
	maxLength   = 128
)

// Token is an entry's home token: its incarnation and the period, counted from 0
// at the start of that process, in which the token was handed out. The period
// lets an entry forget ids: one whose token has expired is never started,
// whether or not the entry still remembers it.
type Token struct {
	Incarnation string
	Period      uint64
}

// String formats the token as callers see it.
func (t Token) String() string {
	return t.Incarnation + "-" + strconv.FormatUint(t.Period, 10)
}

// Name is what the system's own processes call a job: the contract and the id.
// With the contract in it, nobody can read, join, cancel or fence the job of
// another customer, however the id was come by.
func Name(contract, id string) string { return contract + "/" + id }

// SplitName undoes Name; an id holds no slash.
func SplitName(name string) (contract, id string) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 {
		return "", name
	}
	return name[:i], name[i+1:]
}

// ID is a parsed job id.
type ID struct {
	// Home is the zero Token for an id that is the caller's own key.
	Home Token
	// Key is the caller's part.
	Key string
}

// HasHome reports whether the id names the process that vouches for it.
func (id ID) HasHome() bool { return id.Home.Incarnation != "" }

// Parse splits an id. An id that does not start with a home token is a key of
// the caller's own.
func Parse(s string) (ID, error) {
	if s == "" || len(s) > maxLength {
		return ID{}, ErrBadID.New("id has %d bytes, want 1 to %d", len(s), maxLength)
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' || s[i] == '/' {
			return ID{}, ErrBadID.New("id has byte %#x at %d, want printable ASCII without space and slash", s[i], i)
		}
	}
	token, key, ok := strings.Cut(s, ".")
	if !ok || key == "" {
		return ID{Key: s}, nil
	}
	incarnation, period, ok := strings.Cut(token, "-")
	if !ok || !isHex(incarnation) {
		return ID{Key: s}, nil
	}
	n, err := strconv.ParseUint(period, 10, 40)
	if err != nil {
		return ID{Key: s}, nil
	}
	return ID{Home: Token{Incarnation: incarnation, Period: n}, Key: key}, nil
}

func isHex(s string) bool {
	if len(s) != IncarnationLength {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
