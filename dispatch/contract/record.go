package contract

import (
	"bytes"
	"encoding/json"
	"strings"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Prefix is where contracts are kept in the store.
const Prefix = "papayahoist/contracts/"

// MaxHistory is how many earlier revisions a record keeps.
const MaxHistory = 16

// Key is a contract's key in the store.
func Key(name string) string { return Prefix + name }

// Encode returns a record as it is stored: JSON with the fields' names of the
// message, the same bytes for the same record. The contract's own revision is
// left out, since the store gives it only when the record is written.
func Encode(r *pb.ContractRecord) ([]byte, error) {
	stored := proto.CloneOf(r)
	stored.Contract.Revision = 0
	text, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(stored)
	if err != nil {
		return nil, ErrMalformed.WrapWithNoMessage(err)
	}
	// protojson varies its spaces on purpose.
	var compact bytes.Buffer
	if err := json.Compact(&compact, text); err != nil {
		return nil, ErrMalformed.WrapWithNoMessage(err)
	}
	return compact.Bytes(), nil
}

// Decode reads a stored record of the given key and revision. A record that is
// not valid is ErrMalformed: somebody has written past this program, and what it
// held before is to stay in force.
func Decode(key string, value []byte, revision uint64) (*pb.ContractRecord, error) {
	var r pb.ContractRecord
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(value, &r); err != nil {
		return nil, ErrMalformed.Wrap(err, "record at %s", key)
	}
	if r.Contract == nil || r.Contract.Name != strings.TrimPrefix(key, Prefix) {
		return nil, ErrMalformed.New("record at %s is one of contract %q", key, r.Contract.GetName())
	}
	if err := Validate(r.Contract); err != nil {
		return nil, ErrMalformed.Wrap(err, "record at %s", key)
	}
	r.Contract.Revision = revision
	return &r, nil
}
