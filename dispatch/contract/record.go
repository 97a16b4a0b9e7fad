package contract

import (
	"bytes"
	"encoding/json"
	"strings"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Prefix is the prefix of the contracts' keys in the store.
const Prefix = "papayahoist/contracts/"

// MaxHistory is the number of earlier revisions that a record keeps.
const MaxHistory = 16

// Key returns a contract's key in the store.
func Key(name string) string { return Prefix + name }

// Encode returns the stored form of a record: JSON with the message's field names. Equal
// records have equal encodings. The contract's own revision is omitted, since the store
// assigns it when the record is written.
func Encode(r *pb.ContractRecord) ([]byte, error) {
	stored := proto.CloneOf(r)
	stored.Contract.Revision = 0
	text, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(stored)
	if err != nil {
		return nil, ErrMalformed.WrapWithNoMessage(err)
	}
	// protojson deliberately varies its whitespace.
	var compact bytes.Buffer
	if err := json.Compact(&compact, text); err != nil {
		return nil, ErrMalformed.WrapWithNoMessage(err)
	}
	return compact.Bytes(), nil
}

// Decode decodes the stored record of the given key and revision. It fails with
// ErrMalformed if the record is not valid: it was written by other means than this
// program, and the caller must keep the previous contract in force.
func Decode(key string, value []byte, revision uint64) (*pb.ContractRecord, error) {
	var r pb.ContractRecord
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(value, &r); err != nil {
		return nil, ErrMalformed.Wrap(err, "record at %s", key)
	}
	if r.Contract == nil || r.Contract.Name != strings.TrimPrefix(key, Prefix) {
		return nil, ErrMalformed.New("record at %s belongs to contract %q", key, r.Contract.GetName())
	}
	if err := Validate(r.Contract); err != nil {
		return nil, ErrMalformed.Wrap(err, "record at %s", key)
	}
	r.Contract.Revision = revision
	return &r, nil
}
