package main

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/apricothub/apricothub/api"
)

const settingsIntro = `# Settings and lists

Made from the schema by ` + "`go run ./internal/docgen`" + `; do not edit.

All files are INI: ` + "`[section]`" + `, then ` + "`key = value`" + ` lines. A line that begins
with # or ; is a comment, and so is what follows a # or ; after a space. Several values
of one key are separated by commas. Sections, keys and values that this page does not
name are refused, with the line. ` + "`apricothub check`" + ` checks any of the files.

Forms: *name* is letters, digits, dot, dash and underscore, at most 100; *address* is
IP:port, never a host name; *call* is METHOD /path, where a path that ends in /* covers
all below it; *sha256* is 64 small hex digits; a *secret* has at least 16 printable
characters and is never shown in a dump or a log.

*Reload*: a running process takes the new value on SIGHUP. Every other change is named
in the log and needs a restart.
`

func settingsPage() string {
	var b strings.Builder
	b.WriteString(settingsIntro)
	writeFile(&b, "Settings of an entry", "`apricothub entry -c FILE`. Examples: `examples/*/entry.ini`.", (&api.EntrySettings{}).ProtoReflect().Descriptor())
	writeFile(&b, "Settings of an agent", "`apricothub agent -c FILE`. Examples: `examples/*/agent-*.ini`. A plain service has no `[group]`.", (&api.AgentSettings{}).ProtoReflect().Descriptor())
	b.WriteString("\n## The plans list\n\nCustomers and their plans, published by `apricothub publish plans FILE`. " +
		"A customer's keys stand in it as hashes only; `apricothub check --hash-key` makes them.\n")
	writeSection(&b, "[customer NAME]", (&api.Customer{}).ProtoReflect().Descriptor())
	b.WriteString("\n## The uses list\n\nWhat each plan may use, published by `apricothub publish uses FILE`. " +
		"Models, adapters and services that a plan names must have their section.\n")
	writeSection(&b, "[plan NAME]", (&api.Plan{}).ProtoReflect().Descriptor())
	writeSection(&b, "[service NAME]", (&api.Service{}).ProtoReflect().Descriptor())
	writeSection(&b, "[model NAME]", (&api.Model{}).ProtoReflect().Descriptor())
	return b.String()
}

// writeFile writes the sections of a settings file.
func writeFile(b *strings.Builder, title, text string, message protoreflect.MessageDescriptor) {
	fmt.Fprintf(b, "\n## %s\n\n%s\n", title, text)
	for i := range message.Fields().Len() {
		field := message.Fields().Get(i)
		writeSection(b, "["+settingName(field)+"]", field.Message())
	}
}

func writeSection(b *strings.Builder, title string, message protoreflect.MessageDescriptor) {
	fmt.Fprintf(b, "\n### `%s`\n\n| Key | Value | Default | Meaning |\n|---|---|---|---|\n", title)
	for i := range message.Fields().Len() {
		field := message.Fields().Get(i)
		setting, _ := proto.GetExtension(field.Options(), api.E_Setting).(*api.Setting)
		if setting == nil {
			continue
		}
		meaning := setting.GetDoc()
		if setting.GetReload() {
			meaning += " *Reload.*"
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", settingName(field), describeValue(field, setting), describeDefault(setting), meaning)
	}
}

func settingName(field protoreflect.FieldDescriptor) string {
	return strings.ReplaceAll(string(field.Name()), "_", "-")
}

// describeValue describes the values that a key accepts.
func describeValue(field protoreflect.FieldDescriptor, setting *api.Setting) string {
	text := setting.GetForm()
	switch {
	case setting.GetSecret():
		text = "secret"
	case field.Kind() == protoreflect.Int64Kind:
		text = "whole number"
	case field.Kind() == protoreflect.DoubleKind:
		text = "number"
	case text == "":
		text = "text"
	}
	if field.IsList() {
		text = "list of " + text
	}
	if setting.GetUnit() != "" {
		text += ", " + setting.GetUnit()
	}
	if setting.GetMin() != 0 || setting.GetMax() != 0 {
		text += fmt.Sprintf(", %d to %d", setting.GetMin(), setting.GetMax())
	}
	return text
}

func describeDefault(setting *api.Setting) string {
	switch {
	case setting.GetRequired():
		return "**required**"
	case setting.GetDefault() == "":
		return "none"
	}
	return "`" + setting.GetDefault() + "`"
}
