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
	clockLayout = "15:04:05.000"
	// maxShownContext limits the context lines that are shown to the last ones, nearest to the end
	// of the request.
	maxShownContext = 24
)

// Render writes a timeline as text: the lines in order, each with its time relative to the first
// line of the request, and at the end the meaning of the result.
func Render(w io.Writer, t *Timeline) error {
	r := &renderer{w: w, first: t.Lines[0].Time}
	r.printf("Request %s: %s in the logs of %s, on %s.\n", t.Request, pluralize(len(t.Lines), "line"),
		pluralize(len(distinctVMs(t.Lines)), "process"), t.Lines[0].Time.UTC().Format("2006-01-02"))
	context := t.Context
	if hidden := len(context) - maxShownContext; hidden > 0 {
		context = context[hidden:]
		r.printf("Not shown are %s about the processes, from before.\n", pluralize(hidden, "line"))
	}
	r.printf("\n")
	for _, l := range t.Lines {
		for len(context) > 0 && context[0].Time.Before(l.Time) {
			r.writeContextLine(context[0])
			context = context[1:]
		}
		r.writeLine(l)
	}
	for _, l := range context {
		r.writeContextLine(l)
	}
	r.writeResult(t.Lines)
	return r.err
}

// renderer writes text and keeps the first error.
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

// writeHead writes the time, process and message of a line. The mark distinguishes the request's
// own lines from context.
func (r *renderer) writeHead(mark string, l Line) {
	r.printf("%s %s %+8.3f s  %s %s  %s", mark, l.Time.UTC().Format(clockLayout), l.Time.Sub(r.first).Seconds(), l.Part, l.VM, l.Message)
	if l.Result != "" {
		r.printf(" [%s]", l.Result)
	}
	r.printf("\n")
}

// writeLine writes a line of the request with all its fields, grouped by section.
func (r *renderer) writeLine(l Line) {
	r.writeHead("*", l)
	rows := make(map[string][]string)
	for _, f := range l.Fields {
		section := sectionOf[f.Key]
		rows[section] = append(rows[section], f.Key+"="+quoteIfNeeded(f.Value))
	}
	for _, section := range logging.Vocabulary {
		r.writeRow(section.Name, rows[section.Name])
	}
	r.writeRow("other", rows[""])
}

func (r *renderer) writeRow(name string, fields []string) {
	if len(fields) > 0 {
		r.printf("      %-9s %s\n", name, strings.Join(fields, " "))
	}
}

// writeContextLine writes a line about a process, with its fields in one row.
func (r *renderer) writeContextLine(l Line) {
	r.writeHead(" ", l)
	var fields []string
	for _, f := range l.Fields {
		fields = append(fields, f.Key+"="+quoteIfNeeded(f.Value))
	}
	r.writeRow("", fields)
}

// writeResult writes the meaning of the last result of the request.
func (r *renderer) writeResult(lines []Line) {
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

// sectionOf maps each key to the name of its section.
var sectionOf = func() map[string]string {
	sections := make(map[string]string)
	for _, section := range logging.Vocabulary {
		for _, k := range section.Keys {
			sections[k.Name] = section.Name
		}
	}
	return sections
}()

func distinctVMs(lines []Line) map[string]bool {
	vms := make(map[string]bool)
	for _, l := range lines {
		vms[l.VM] = true
	}
	return vms
}

func quoteIfNeeded(value string) string {
	if value == "" || strings.ContainsAny(value, " \"=") {
		return strconv.Quote(value)
	}
	return value
}

func pluralize(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	if strings.HasSuffix(noun, "s") {
		return strconv.Itoa(n) + " " + noun + "es"
	}
	return strconv.Itoa(n) + " " + noun + "s"
}
