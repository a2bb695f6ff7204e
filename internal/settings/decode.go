package settings

import (
	"math"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/apricothub/apricothub/api"
)

// maxItems is the maximum number of items in a comma-separated list.
const maxItems = 256

// settingOf returns the schema's setting option of a field, or nil if the field is not a setting.
func settingOf(field protoreflect.FieldDescriptor) *api.Setting {
	setting, _ := proto.GetExtension(field.Options(), api.E_Setting).(*api.Setting)
	return setting
}

// keyName returns the key in the file for a field.
func keyName(field protoreflect.FieldDescriptor) string {
	return strings.ReplaceAll(string(field.Name()), "_", "-")
}

// fieldByKey returns the field for a key, or nil.
func fieldByKey(message protoreflect.MessageDescriptor, key string) protoreflect.FieldDescriptor {
	if strings.Contains(key, "_") {
		return nil
	}
	field := message.Fields().ByName(protoreflect.Name(strings.ReplaceAll(key, "-", "_")))
	if field == nil || settingOf(field) == nil {
		return nil
	}
	return field
}

// decode fills a message from a section and applies the defaults.
func decode(from section, into protoreflect.Message, faults *faultList) {
	seen := map[protoreflect.FieldNumber]int{}
	for _, k := range from.keys {
		field := fieldByKey(into.Descriptor(), k.name)
		if field == nil {
			faults.add(k.line, from.name, k.name, "unknown key; the section has %s", keyNames(into.Descriptor()))
			continue
		}
		if first, ok := seen[field.Number()]; ok {
			faults.add(k.line, from.name, k.name, "the key stands already in line %d", first)
			continue
		}
		seen[field.Number()] = k.line
		if k.value == "" {
			continue
		}
		if err := setField(into, field, k.value); err != nil {
			faults.add(k.line, from.name, k.name, "%v", err)
		}
	}
	applyDefaults(from, into, faults)
}

// applyDefaults sets the defaults of absent keys and reports missing required keys.
func applyDefaults(from section, into protoreflect.Message, faults *faultList) {
	given := map[string]key{}
	for _, k := range from.keys {
		given[k.name] = k
	}
	fields := into.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		setting := settingOf(field)
		k, present := given[keyName(field)]
		switch {
		case setting == nil || present && k.value != "":
		case setting.GetRequired() && present:
			faults.add(k.line, from.name, k.name, "the value is missing: %s", setting.GetDoc())
		case setting.GetRequired():
			faults.add(from.line, from.name, keyName(field), "the key is missing: %s", setting.GetDoc())
		case setting.GetDefault() != "":
			if err := setField(into, field, setting.GetDefault()); err != nil {
				faults.add(from.line, from.name, keyName(field), "the schema's default: %v", err)
			}
		}
	}
}

func setField(into protoreflect.Message, field protoreflect.FieldDescriptor, text string) error {
	if !field.IsList() {
		value, err := parseValue(field, text)
		if err != nil {
			return err
		}
		into.Set(field, value)
		return nil
	}
	items := strings.Split(text, ",")
	if len(items) > maxItems {
		return errors.Errorf("%d items; at most %d are allowed", len(items), maxItems)
	}
	list := into.Mutable(field).List()
	seen := map[string]bool{}
	for _, item := range items {
		item = strings.TrimSpace(item)
		if item == "" {
			return errors.New("an item between commas is empty")
		}
		if seen[item] {
			return errors.Errorf("%q stands twice", truncate(item))
		}
		seen[item] = true
		value, err := parseValue(field, item)
		if err != nil {
			return err
		}
		list.Append(value)
	}
	return nil
}

func parseValue(field protoreflect.FieldDescriptor, text string) (protoreflect.Value, error) {
	setting := settingOf(field)
	switch field.Kind() {
	case protoreflect.StringKind:
		check := checkForm(setting.GetForm(), text)
		if setting.GetSecret() {
			check = checkSecret(text)
		}
		return protoreflect.ValueOfString(text), check
	case protoreflect.Int64Kind:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return protoreflect.Value{}, errors.Errorf("%q is not a whole number%s", truncate(text), unitSuffix(setting))
		}
		return protoreflect.ValueOfInt64(n), checkRange(setting, float64(n), text)
	case protoreflect.DoubleKind:
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			return protoreflect.Value{}, errors.Errorf("%q is not a number%s", truncate(text), unitSuffix(setting))
		}
		return protoreflect.ValueOfFloat64(x), checkRange(setting, x, text)
	}
	return protoreflect.Value{}, errors.Errorf("the schema gives a setting the kind %v", field.Kind())
}

func checkRange(setting *api.Setting, x float64, text string) error {
	lower, upper := setting.GetMin(), setting.GetMax()
	if lower == 0 && upper == 0 || x >= float64(lower) && x <= float64(upper) {
		return nil
	}
	return errors.Errorf("%s is not between %d and %d%s", truncate(text), lower, upper, unitSuffix(setting))
}

func unitSuffix(setting *api.Setting) string {
	if setting.GetUnit() == "" {
		return ""
	}
	return " " + setting.GetUnit()
}

// keyNames returns the keys of a section for an error message.
func keyNames(message protoreflect.MessageDescriptor) string {
	var keys []string
	for i := range message.Fields().Len() {
		if field := message.Fields().Get(i); settingOf(field) != nil {
			keys = append(keys, keyName(field))
		}
	}
	return strings.Join(keys, ", ")
}
