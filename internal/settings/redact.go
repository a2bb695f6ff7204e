package settings

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// RedactedValue replaces a secret in a dump or a log.
const RedactedValue = "(hidden)"

// Redacted returns a copy of the message in which the value of every secret field of the schema is
// replaced by [RedactedValue].
func Redacted(m proto.Message) proto.Message {
	copied := proto.Clone(m)
	redact(copied.ProtoReflect())
	return copied
}

func redact(m protoreflect.Message) {
	m.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case settingOf(field).GetSecret():
			m.Set(field, protoreflect.ValueOfString(RedactedValue))
		case field.Kind() != protoreflect.MessageKind || field.IsMap():
		case field.IsList():
			for i := range value.List().Len() {
				redact(value.List().Get(i).Message())
			}
		default:
			redact(value.Message())
		}
		return true
	})
}

// Change is one key in which two settings messages differ.
type Change struct {
	Section string
	Key     string
	// Reload is true if a running process applies the new value without a restart.
	Reload bool
}

// Changes returns the keys in which two settings messages of the same type differ.
func Changes(before, after proto.Message) []Change {
	var changes []Change
	sections := before.ProtoReflect().Descriptor().Fields()
	for i := range sections.Len() {
		sectionField := sections.Get(i)
		oldSection := before.ProtoReflect().Get(sectionField).Message()
		newSection := after.ProtoReflect().Get(sectionField).Message()
		for j := range sectionField.Message().Fields().Len() {
			field := sectionField.Message().Fields().Get(j)
			if oldSection.Get(field).Equal(newSection.Get(field)) {
				continue
			}
			changes = append(changes, Change{
				Section: keyName(sectionField), Key: keyName(field), Reload: settingOf(field).GetReload(),
			})
		}
	}
	return changes
}
