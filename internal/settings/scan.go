package settings

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// Limits on a file, so that a faulty or hostile file cannot use much memory or time. A list of
// 7,300 customers takes about 1 MB; the size limit is four times that.
const (
	maxFileBytes  = 4 << 20
	maxSections   = 20_000
	maxKeys       = 64 // in one section
	maxValueBytes = 4 << 10
	maxFaults     = 100
	maxShownBytes = 80
)

const byteOrderMark = "\ufeff"

// key is one `key = value` line.
type key struct {
	name  string
	value string
	line  int
}

// section is one `[name]` with the keys below it.
type section struct {
	name string
	line int
	keys []key
}

// lineOptions disables the special syntax of the library for a line. Inline comments need a space
// before them; otherwise, a token that contains a # would be silently truncated. Continuations
// are disabled, so that each line of the file is parsed on its own.
var lineOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
}

// scan reads the sections and keys of a file. It passes one line at a time to the library, because
// the library's errors have no line numbers and it stops at the first error.
func scan(text []byte, faults *faultList) []section {
	if len(text) > maxFileBytes {
		faults.add(0, "", "", "the file has %d bytes; at most %d are read", len(text), maxFileBytes)
		return nil
	}
	s := scanner{faults: faults, sectionLines: map[string]int{}}
	body := strings.TrimPrefix(string(text), byteOrderMark)
	for number := 1; body != ""; number++ {
		var line string
		line, body, _ = strings.Cut(body, "\n")
		if !s.scanLine(number, strings.TrimSpace(line)) {
			break
		}
	}
	return s.sections
}

type scanner struct {
	faults   *faultList
	sections []section
	// sectionLines holds the line of each section found so far.
	sectionLines map[string]int
}

// scanLine parses one trimmed line. It returns false if no further line should be read.
func (s *scanner) scanLine(number int, line string) bool {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
		return true
	case !isPrintable(line):
		s.faults.add(number, s.currentSection(), "", "the line holds a byte that is not printable UTF-8")
		return true
	}
	file, err := ini.LoadSources(lineOptions, []byte(line))
	if err != nil {
		s.faults.add(number, s.currentSection(), "", "the line is neither a [section] nor key = value")
		return true
	}
	if line[0] == '[' {
		return s.scanHeader(number, line, file)
	}
	s.scanKey(number, file)
	return true
}

func (s *scanner) scanHeader(number int, line string, file *ini.File) bool {
	if len(s.sections) >= maxSections {
		s.faults.add(number, "", "", "the file has more than %d sections", maxSections)
		return false
	}
	all := file.Sections()
	name := strings.Join(strings.Fields(all[len(all)-1].Name()), " ")
	// The library ignores text after the bracket. A key there would be silently lost, so it is
	// rejected.
	rest := strings.TrimSpace(line[strings.LastIndexByte(line, ']')+1:])
	if rest != "" && rest[0] != '#' && rest[0] != ';' {
		s.faults.add(number, name, "", "text after the section's name")
	}
	if first, ok := s.sectionLines[name]; ok {
		s.faults.add(number, name, "", "the section stands already in line %d", first)
	}
	s.sectionLines[name] = number
	s.sections = append(s.sections, section{name: name, line: number})
	return true
}

func (s *scanner) scanKey(number int, file *ini.File) {
	keys := file.Section("").Keys()
	if len(keys) != 1 {
		s.faults.add(number, s.currentSection(), "", "the line is neither a [section] nor key = value")
		return
	}
	// Value is used instead of String, because String expands %(name)s.
	name, value := keys[0].Name(), strings.TrimSpace(keys[0].Value())
	if len(s.sections) == 0 {
		s.faults.add(number, "", name, "the key stands before any section")
		return
	}
	parent := &s.sections[len(s.sections)-1]
	if len(parent.keys) >= maxKeys {
		s.faults.add(number, parent.name, name, "the section has more than %d keys", maxKeys)
		return
	}
	if len(value) > maxValueBytes {
		s.faults.add(number, parent.name, name, "the value has %d bytes; at most %d are read", len(value), maxValueBytes)
		return
	}
	parent.keys = append(parent.keys, key{name: name, value: value, line: number})
}

// currentSection returns the name of the section that contains the current line.
func (s *scanner) currentSection() string {
	if len(s.sections) == 0 {
		return ""
	}
	return s.sections[len(s.sections)-1].name
}

func isPrintable(line string) bool {
	if !utf8.ValidString(line) || strings.Contains(line, byteOrderMark) {
		return false
	}
	for _, r := range line {
		if unicode.IsControl(r) && r != '\t' {
			return false
		}
	}
	return true
}
