package settings

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/apricothub/apricothub/api"
)

// Format formats the sections of a list as INI text, in the order given. Keys with their default
// value are omitted, so that an operator sees only what was set explicitly. Parsing the text
// gives the same sections.
func Format(sections []*api.Section) []byte {
	var b bytes.Buffer
	for i, s := range sections {
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "[%s]\n", s.GetName())
		message := s.ProtoReflect()
		body := message.WhichOneof(message.Descriptor().Oneofs().ByName("body"))
		if body != nil {
			formatKeys(&b, message.Get(body).Message())
		}
	}
	return b.Bytes()
}

func formatKeys(b *bytes.Buffer, message protoreflect.Message) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		setting := settingOf(field)
		if setting == nil {
			continue
		}
		text := formatField(field, message.Get(field))
		if !setting.GetRequired() && text == defaultText(field, setting) {
			continue
		}
		fmt.Fprintf(b, "%s = %s\n", keyName(field), text)
	}
}

// defaultText returns the text of a field whose key is absent.
func defaultText(field protoreflect.FieldDescriptor, setting *api.Setting) string {
	if setting.GetDefault() != "" || field.IsList() {
		return setting.GetDefault()
	}
	return formatField(field, field.Default())
}

func formatField(field protoreflect.FieldDescriptor, value protoreflect.Value) string {
	if !field.IsList() {
		return formatValue(field, value)
	}
	items := make([]string, value.List().Len())
	for i := range items {
		items[i] = formatValue(field, value.List().Get(i))
	}
	return strings.Join(items, ", ")
}

func formatValue(field protoreflect.FieldDescriptor, value protoreflect.Value) string {
	if field.Kind() == protoreflect.DoubleKind {
		return strconv.FormatFloat(value.Float(), 'f', -1, 64)
	}
	return value.String()
}
