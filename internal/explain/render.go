package explain

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/logging"
	"github.com/apricothub/apricothub/internal/result"
)

const (
	clockForm = "15:04:05.000"
	// mostShown bounds the changes of belief that are shown: those next to the request's end.
	mostShown = 24
)

// Render writes a story as text: the lines in order, each with its distance from the first
// one of the request, and at the end what its result means.
func Render(w io.Writer, s *Story) error {
	r := &renderer{w: w, first: s.Lines[0].At}
	r.printf("Request %s: %s in the logs of %s, on %s.\n", s.Request, count(len(s.Lines), "line"),
		count(len(processes(s.Lines)), "process"), s.Lines[0].At.UTC().Format("2006-01-02"))
	around := s.Around
	if more := len(around) - mostShown; more > 0 {
		around = around[more:]
		r.printf("Not shown are %s about the processes, from before.\n", count(more, "line"))
	}
	r.printf("\n")
	for _, l := range s.Lines {
		for len(around) > 0 && around[0].At.Before(l.At) {
			r.around(around[0])
			around = around[1:]
		}
		r.line(l)
	}
	for _, l := range around {
		r.around(l)
	}
	r.meaning(s.Lines)
	return r.err
}

// renderer writes until the first error.
type renderer struct {
	w     io.Writer
	first time.Time
	err   error
}

func (r *renderer) printf(format string, args ...any) {
	if r.err == nil {
		_, r.err = fmt.Fprintf(r.w, format, args...)
	}
}

// head writes what a line says, with its moment and process. The mark tells the request's
// own lines.
func (r *renderer) head(mark string, l Line) {
	r.printf("%s %s %+8.3f s  %s %s  %s", mark, l.At.UTC().Format(clockForm), l.At.Sub(r.first).Seconds(), l.Part, l.VM, l.Message)
	if l.Result != "" {
		r.printf(" [%s]", l.Result)
	}
	r.printf("\n")
}

// line writes a line of the request with all its fields, by what they tell of.
func (r *renderer) line(l Line) {
	r.head("*", l)
	rows := make(map[string][]string)
	for _, f := range l.Fields {
		section := sectionOf[f.Key]
		rows[section] = append(rows[section], f.Key+"="+quoted(f.Value))
	}
	for _, section := range logging.Vocabulary {
		r.row(section.Name, rows[section.Name])
	}
	r.row("other", rows[""])
}

func (r *renderer) row(name string, fields []string) {
	if len(fields) > 0 {
		r.printf("      %-9s %s\n", name, strings.Join(fields, " "))
	}
}

// around writes a line about the process, on one line.
func (r *renderer) around(l Line) {
	r.head(" ", l)
	var fields []string
	for _, f := range l.Fields {
		fields = append(fields, f.Key+"="+quoted(f.Value))
	}
	r.row("", fields)
}

// meaning writes what the last result of the request says.
func (r *renderer) meaning(lines []Line) {
	for i := len(lines) - 1; i >= 0; i-- {
		l := lines[i]
		if l.Result == "" {
			if i == len(lines)-1 {
				r.printf("\nThe caller has a backend server's answer, or left before it.\n")
			}
			continue
		}
		number, _, _ := strings.Cut(l.Result, " ")
		code, err := strconv.ParseInt(number, 10, 32)
		if err != nil {
			return
		}
		info := result.Lookup(api.ResultCode(code))
		r.printf("\n%s: %s Ran: %s.\n", l.Result, info.Doc, result.RanName(info.Ran))
		return
	}
}

// sectionOf gives the section of each key.
var sectionOf = func() map[string]string {
	sections := make(map[string]string)
	for _, section := range logging.Vocabulary {
		for _, k := range section.Keys {
			sections[k.Name] = section.Name
		}
	}
	return sections
}()

func processes(lines []Line) map[string]bool {
	vms := make(map[string]bool)
	for _, l := range lines {
		vms[l.VM] = true
	}
	return vms
}

func quoted(value string) string {
	if value == "" || strings.ContainsAny(value, " \"=") {
		return strconv.Quote(value)
	}
	return value
}

func count(n int, what string) string {
	if n == 1 {
		return "1 " + what
	}
	if strings.HasSuffix(what, "s") {
		return strconv.Itoa(n) + " " + what + "es"
	}
	return strconv.Itoa(n) + " " + what + "s"
}
