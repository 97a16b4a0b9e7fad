package contract

import (
	"cmp"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"google.golang.org/protobuf/proto"
)

// Limits of a contract's fields. Zero is valid for rate, concurrency, memory and waiting
// tasks and means that none is allowed, which suspends a customer.
const (
	MaxNameLength   = 63
	MaxWeight       = 1000
	MaxRate         = 1e6
	MaxBurst        = 1e6
	MaxConcurrency  = 1e6
	MaxMemoryBytes  = 1 << 50
	MaxWaiting      = 1e7
	MinTimeout      = 10 * time.Millisecond
	MaxTimeout      = jobs.MaxTimeout
	MaxIDLength     = 64
	MaxAuthorLength = 128
)

// Defaults of fields that an operator omits. The default burst is the number of starts
// that the rate allows in a second.
const (
	DefaultClass   = pb.Class_CLASS_NORMAL
	DefaultWeight  = 1
	DefaultTimeout = 30 * time.Second
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	idPattern   = regexp.MustCompile(`^[A-Za-z0-9._-]+$`)
)

// WithDefaults returns a copy of the contract with defaults for the omitted fields.
func WithDefaults(c *pb.Contract) *pb.Contract {
	c = proto.CloneOf(c)
	if c.Class == pb.Class_CLASS_UNSPECIFIED {
		c.Class = DefaultClass
	}
	c.Weight = cmp.Or(c.Weight, DefaultWeight)
	if c.Burst == 0 && c.Rate > 0 && c.Rate <= MaxRate {
		c.Burst = uint32(math.Ceil(c.Rate))
	}
	c.DefaultTimeoutMs = cmp.Or(c.DefaultTimeoutMs, uint32(DefaultTimeout/time.Millisecond))
	return c
}

// Validate returns ErrInvalid with every invalid field, or nil. Defaults must have been
// filled in.
func Validate(c *pb.Contract) error {
	var v validator
	v.text("name", c.Name, MaxNameLength, namePattern, "of a-z, 0-9 and -, not starting with -")
	if c.Deleted {
		return v.result()
	}
	if _, known := pb.Class_name[int32(c.Class)]; !known || c.Class == pb.Class_CLASS_UNSPECIFIED {
		v.add("class", c.Class.String(), "CLASS_URGENT, CLASS_NORMAL or CLASS_BULK")
	}
	v.integer("weight", uint64(c.Weight), 1, MaxWeight)
	if !(c.Rate >= 0 && c.Rate <= MaxRate) {
		v.add("rate", strconv.FormatFloat(c.Rate, 'g', -1, 64), fmt.Sprintf("0 to %d starts per second", int(MaxRate)))
	}
	v.integer("burst", uint64(c.Burst), minBurst(c.Rate), MaxBurst)
	v.integer("concurrency", uint64(c.Concurrency), 0, MaxConcurrency)
	v.integer("memory_bytes", c.MemoryBytes, 0, MaxMemoryBytes)
	v.integer("waiting", uint64(c.Waiting), 0, MaxWaiting)
	v.integer("default_timeout_ms", uint64(c.DefaultTimeoutMs),
		uint64(MinTimeout/time.Millisecond), uint64(MaxTimeout/time.Millisecond))
	if c.TokenSha256 != "" && !hashPattern.MatchString(c.TokenSha256) {
		v.add("token_sha256", strconv.Quote(c.TokenSha256), "64 digits of 0-9 and a-f, or empty")
	}
	return v.result()
}

// minBurst returns the smallest valid burst. With a positive rate it is 1, since a
// contract without a burst would never start a task.
func minBurst(rate float64) uint64 {
	if rate > 0 {
		return 1
	}
	return 0
}

type validator struct{ fields []FieldError }

func (v *validator) add(field, value, allowed string) {
	v.fields = append(v.fields, FieldError{Field: field, Value: value, Allowed: allowed})
}

func (v *validator) integer(field string, value, minimum, maximum uint64) {
	if value < minimum || value > maximum {
		v.add(field, strconv.FormatUint(value, 10), fmt.Sprintf("%d to %d", minimum, maximum))
	}
}

func (v *validator) text(field, value string, maxLength int, pattern *regexp.Regexp, allowed string) {
	if len(value) > maxLength || !pattern.MatchString(value) {
		v.add(field, strconv.Quote(value), fmt.Sprintf("1 to %d characters %s", maxLength, allowed))
	}
}

func (v *validator) result() error {
	if len(v.fields) == 0 {
		return nil
	}
	return invalid(v.fields)
}
