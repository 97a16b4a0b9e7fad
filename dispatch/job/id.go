// Package job defines the identity of jobs and which process is responsible for an id.
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
	// ErrBadID is returned for an id that is not well-formed.
	ErrBadID = Errors.NewType("bad_id")
)

const (
	// IncarnationLength is the length in bytes of an incarnation: 128 random bits in hex.
	IncarnationLength = 32
	// TokenPeriod is the longest time for which an entry hands out the same home token.
	TokenPeriod = time.Minute
	maxLength   = 128
)

// Token is an entry's home token: its incarnation and the period, counted from 0
// at the start of that process, in which the token was handed out. The period allows
// an entry to forget ids: an id whose token has expired is never started, whether or
// not the entry remembers it.
type Token struct {
	Incarnation string
	Period      uint64
}

// String returns the token in the form that callers use.
func (t Token) String() string {
	return t.Incarnation + "-" + strconv.FormatUint(t.Period, 10)
}

// Name returns the internal name of a job: the contract and the id. Since it
// contains the contract, a customer can't read, join, cancel or fence the job of
// another customer even if it knows the id.
func Name(contract, id string) string { return contract + "/" + id }

// SplitName is the inverse of Name. An id contains no slash.
func SplitName(name string) (contract, id string) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 {
		return "", name
	}
	return name[:i], name[i+1:]
}

// ID is a parsed job id.
type ID struct {
	// Home is the zero Token for an id that is a caller-made key.
	Home Token
	// Key is the caller's part.
	Key string
}

// HasHome reports whether the id names the process that is its home.
func (id ID) HasHome() bool { return id.Home.Incarnation != "" }

// Parse parses an id. An id that does not start with a home token is a caller-made
// key. Parse returns ErrBadID for an id that is not well-formed.
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
