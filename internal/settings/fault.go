package settings

import (
	"fmt"
	"strings"
)

// Fault is one error in a file.
type Fault struct {
	// File is the name of the file, as given by the caller.
	File string
	// Line counts from 1; it is 0 if the fault belongs to no line.
	Line int
	// Section and Key locate the fault; either may be empty.
	Section string
	Key     string
	// Reason describes the fault.
	Reason string
}

// String returns the fault on one line: `entry.ini:7: [listen] public: reason`.
func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(":")
	if f.Section != "" {
		fmt.Fprintf(&b, " [%s]", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, " %s:", f.Key)
	}
	b.WriteString(" ")
	b.WriteString(f.Reason)
	return b.String()
}

// Faults is the error for a file with one or more faults, in line order.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// faultList collects the faults of one file.
type faultList struct {
	file   string
	faults Faults
	// dropped counts the faults beyond maxFaults.
	dropped int
}

func (l *faultList) add(line int, section, key, format string, args ...any) {
	if len(l.faults) >= maxFaults {
		l.dropped++
		return
	}
	l.faults = append(l.faults, Fault{
		File: l.file, Line: line, Section: truncate(section), Key: truncate(key),
		Reason: fmt.Sprintf(format, args...),
	})
}

// err returns the faults as an error, or nil if there are none.
func (l *faultList) err() error {
	if len(l.faults) == 0 {
		return nil
	}
	if l.dropped > 0 {
		l.faults = append(l.faults, Fault{File: l.file, Reason: fmt.Sprintf("and %d more faults", l.dropped)})
	}
	return l.faults
}

// truncate limits the length of text from the file that is quoted in a message.
func truncate(text string) string {
	if len(text) <= maxShownBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxShownBytes], "") + "…"
}
