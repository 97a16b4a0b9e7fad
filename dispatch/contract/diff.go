package contract

import (
	"fmt"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// FieldChange is one field's change from one revision to another.
type FieldChange struct {
	Field, From, To string
}

// String implements fmt.Stringer.
func (c FieldChange) String() string { return fmt.Sprintf("%s: %s -> %s", c.Field, c.From, c.To) }

// isTerm tells the fields that operators agree on from those that describe a
// change.
func isTerm(field protoreflect.FieldDescriptor) bool {
	switch field.Name() {
	case "name", "revision", "change_id", "changed_by", "changed_unix_ms":
		return false
	}
	return true
}

// Diff lists the terms that differ, in order of their numbers.
func Diff(from, to *pb.Contract) []FieldChange {
	var changes []FieldChange
	a, b := from.ProtoReflect(), to.ProtoReflect()
	for _, field := range terms {
		if !a.Get(field).Equal(b.Get(field)) {
			changes = append(changes, FieldChange{
				Field: string(field.Name()), From: text(field, a.Get(field)), To: text(field, b.Get(field)),
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

func text(field protoreflect.FieldDescriptor, value protoreflect.Value) string {
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

// merge puts the changes from base to mine on top of theirs. A term that both
// have changed, and not to the same value, is returned as a clash: then one of
// two operators has to decide, not a program.
func merge(base, mine, theirs *pb.Contract) (merged *pb.Contract, clashes []FieldChange) {
	merged = proto.CloneOf(theirs)
	b, m, t := base.ProtoReflect(), mine.ProtoReflect(), theirs.ProtoReflect()
	for _, field := range terms {
		switch value := m.Get(field); {
		case value.Equal(b.Get(field)):
		case t.Get(field).Equal(b.Get(field)), t.Get(field).Equal(value):
			merged.ProtoReflect().Set(field, value)
		default:
			clashes = append(clashes, FieldChange{
				Field: string(field.Name()), From: text(field, t.Get(field)), To: text(field, value),
			})
		}
	}
	return merged, clashes
}
