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

// Limits of a contract's fields. Zero is allowed for rate, concurrency, memory
// and waiting tasks and means that none is allowed, which suspends a customer.
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

// Defaults of fields that an operator leaves out. The burst's is what the rate
// gives in a second.
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

// WithDefaults returns a copy with the fields filled in that were left out.
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

// Validate returns ErrInvalid with every field that is not allowed. Defaults
// must have been filled in.
func Validate(c *pb.Contract) error {
	var v validator
	v.text("name", c.Name, MaxNameLength, namePattern, "of a-z, 0-9 and -, not starting with -")
	if c.Deleted {
		return v.result()
	}
	if _, known := pb.Class_name[int32(c.Class)]; !known || c.Class == pb.Class_CLASS_UNSPECIFIED {
		v.add("class", c.Class.String(), "CLASS_URGENT, CLASS_NORMAL or CLASS_BULK")
	}
	v.whole("weight", uint64(c.Weight), 1, MaxWeight)
	if !(c.Rate >= 0 && c.Rate <= MaxRate) {
		v.add("rate", strconv.FormatFloat(c.Rate, 'g', -1, 64), fmt.Sprintf("0 to %d starts a second", int(MaxRate)))
	}
	v.whole("burst", uint64(c.Burst), leastBurst(c.Rate), MaxBurst)
	v.whole("concurrency", uint64(c.Concurrency), 0, MaxConcurrency)
	v.whole("memory_bytes", c.MemoryBytes, 0, MaxMemoryBytes)
	v.whole("waiting", uint64(c.Waiting), 0, MaxWaiting)
	v.whole("default_timeout_ms", uint64(c.DefaultTimeoutMs),
		uint64(MinTimeout/time.Millisecond), uint64(MaxTimeout/time.Millisecond))
	if c.TokenSha256 != "" && !hashPattern.MatchString(c.TokenSha256) {
		v.add("token_sha256", strconv.Quote(c.TokenSha256), "64 digits of 0-9 and a-f, or nothing")
	}
	return v.result()
}

// leastBurst keeps a contract with a rate from never starting anything.
func leastBurst(rate float64) uint64 {
	if rate > 0 {
		return 1
	}
	return 0
}

type validator struct{ fields []FieldError }

func (v *validator) add(field, value, allowed string) {
	v.fields = append(v.fields, FieldError{Field: field, Value: value, Allowed: allowed})
}

func (v *validator) whole(field string, value, least, most uint64) {
	if value < least || value > most {
		v.add(field, strconv.FormatUint(value, 10), fmt.Sprintf("%d to %d", least, most))
	}
}

func (v *validator) text(field, value string, most int, pattern *regexp.Regexp, allowed string) {
	if len(value) > most || !pattern.MatchString(value) {
		v.add(field, strconv.Quote(value), fmt.Sprintf("1 to %d characters %s", most, allowed))
	}
}

func (v *validator) result() error {
	if len(v.fields) == 0 {
		return nil
	}
	return invalid(v.fields)
}
