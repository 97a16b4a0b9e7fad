package contract

import (
	"fmt"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// FieldChange is the change of one field between two revisions.
type FieldChange struct {
	Field, From, To string
}

// String implements fmt.Stringer.
func (c FieldChange) String() string { return fmt.Sprintf("%s: %s -> %s", c.Field, c.From, c.To) }

// isTerm reports whether a field is a term of the contract, as opposed to its name and
// the fields that describe a change.
func isTerm(field protoreflect.FieldDescriptor) bool {
	switch field.Name() {
	case "name", "revision", "change_id", "changed_by", "changed_unix_ms":
		return false
	}
	return true
}

// Diff returns the terms that differ, in the order of the message's fields.
func Diff(from, to *pb.Contract) []FieldChange {
	var changes []FieldChange
	a, b := from.ProtoReflect(), to.ProtoReflect()
	for _, field := range terms {
		if !a.Get(field).Equal(b.Get(field)) {
			changes = append(changes, FieldChange{
				Field: string(field.Name()), From: formatValue(field, a.Get(field)), To: formatValue(field, b.Get(field)),
			})
		}
	}
	return changes
}

var terms = func() []protoreflect.FieldDescriptor {
	var list []protoreflect.FieldDescriptor
	all := (&pb.Contract{}).ProtoReflect().Descriptor().Fields()
	for i := range all.Len() {
		if isTerm(all.Get(i)) {
			list = append(list, all.Get(i))
		}
	}
	return list
}()

func formatValue(field protoreflect.FieldDescriptor, value protoreflect.Value) string {
	if enum := field.Enum(); enum != nil {
		if named := enum.Values().ByNumber(value.Enum()); named != nil {
			return string(named.Name())
		}
	}
	if field.Kind() == protoreflect.StringKind {
		return fmt.Sprintf("%q", value.String())
	}
	return value.String()
}

// merge applies the changes from base to ours on top of theirs. A term that both have
// changed to different values is returned as a conflict, which an operator must
// resolve.
func merge(base, ours, theirs *pb.Contract) (merged *pb.Contract, conflicts []FieldChange) {
	merged = proto.CloneOf(theirs)
	b, o, t := base.ProtoReflect(), ours.ProtoReflect(), theirs.ProtoReflect()
	for _, field := range terms {
		switch value := o.Get(field); {
		case value.Equal(b.Get(field)):
		case t.Get(field).Equal(b.Get(field)), t.Get(field).Equal(value):
			merged.ProtoReflect().Set(field, value)
		default:
			conflicts = append(conflicts, FieldChange{
				Field: string(field.Name()), From: formatValue(field, t.Get(field)), To: formatValue(field, value),
			})
		}
	}
	return merged, conflicts
}
