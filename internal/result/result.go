// Package result defines the numbered results of apricothub: what each code means, an error type
// that carries one, and its HTTP form.
//
// The table is defined in the schema, api/result.proto; this package reads it from the generated
// descriptors.
package result

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

// Info is one row of the table of result codes.
type Info struct {
	Number int32
	// Name is the code's name in the schema, such as OVER_SHARE.
	Name string
	// HTTP is the HTTP status of the code.
	HTTP int
	// Ran says whether the request ran, unless the error says otherwise.
	Ran api.Ran
	// Doc says what happened and what to do.
	Doc string
	// Exit is the exit status of a command that ends with the code.
	Exit int
	// RetryAfter says that the answer has the header Retry-After.
	RetryAfter bool
}

// defaultExit is the exit status of a code that defines none.
const defaultExit = 1

// table is filled at start and only read afterwards.
var table = readTable()

func readTable() map[api.ResultCode]Info {
	values := api.ResultCode_OK.Descriptor().Values()
	rows := make(map[api.ResultCode]Info, values.Len())
	for i := range values.Len() {
		value := values.Get(i)
		row, _ := proto.GetExtension(value.Options(), api.E_Result).(*api.Result)
		info := Info{
			Number: int32(value.Number()), Name: string(value.Name()),
			HTTP: int(row.GetHttp()), Ran: row.GetRan(), Doc: row.GetDoc(),
			Exit: int(row.GetExit()), RetryAfter: row.GetRetryAfter(),
		}
		if info.Exit == 0 && info.Number != 0 {
			info.Exit = defaultExit
		}
		rows[api.ResultCode(value.Number())] = info
	}
	return rows
}

// Lookup returns the row of a code. An unknown number, as a newer process may send, is treated as
// INTERNAL under its own number.
func Lookup(code api.ResultCode) Info {
	if info, ok := table[code]; ok {
		return info
	}
	info := table[api.ResultCode_INTERNAL]
	info.Number, info.Name = int32(code), code.String()
	return info
}

// Label returns a code's number and name, as logs and dumps show it.
func Label(code api.ResultCode) string {
	info := Lookup(code)
	return fmt.Sprintf("%d %s", info.Number, info.Name)
}

// All returns the rows in the order of the schema.
func All() []Info {
	values := api.ResultCode_OK.Descriptor().Values()
	rows := make([]Info, values.Len())
	for i := range rows {
		rows[i] = table[api.ResultCode(values.Get(i).Number())]
	}
	return rows
}

// Error is a failure with its result code.
type Error struct {
	Code api.ResultCode
	// Ran says whether the request took effect.
	Ran api.Ran
	// Text says what went wrong in this case; it is shown to the caller.
	Text string
	// RetryAfter is the time to wait before a retry; 0 if none is given.
	RetryAfter time.Duration
	// NotBefore is the time before which a retry cannot succeed; 0 if unknown.
	NotBefore time.Duration
}

// New returns an error with the code's default Ran. The texts are joined; without any, the text is
// the table's.
func New(code api.ResultCode, text ...string) *Error {
	info := Lookup(code)
	e := &Error{Code: code, Ran: info.Ran, Text: info.Doc}
	if len(text) > 0 {
		e.Text = strings.Join(text, " ")
	}
	return e
}

// Newf is New with a format.
func Newf(code api.ResultCode, format string, args ...any) *Error {
	return New(code, fmt.Sprintf(format, args...))
}

// Refuse returns an error for a request that has not run, with the time to wait before a retry.
func Refuse(code api.ResultCode, retryAfter time.Duration, text ...string) *Error {
	e := New(code, text...)
	e.Ran, e.RetryAfter = api.Ran_RAN_NO, retryAfter
	return e
}

// Error returns the code's number and name, and the text.
func (e *Error) Error() string {
	return Label(e.Code) + ": " + e.Text
}

// FromError returns the first Error in err's chain. An error without one is a fault of apricothub:
// INTERNAL, where it is unknown whether the request ran.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(api.ResultCode_INTERNAL)
}

// FromRefusal converts an agent's refusal into an error.
func FromRefusal(r *api.Refusal) *Error {
	e := New(r.GetCode())
	if r.GetText() != "" {
		e.Text = r.GetText()
	}
	if r.GetRan() != api.Ran_RAN_UNSPECIFIED {
		e.Ran = r.GetRan()
	}
	e.RetryAfter = time.Duration(r.GetRetryAfterMs()) * time.Millisecond
	return e
}

// Refusal converts the error into the message that an agent sends.
func (e *Error) Refusal() *api.Refusal {
	return &api.Refusal{Code: e.Code, Ran: e.Ran, Text: e.Text, RetryAfterMs: milliseconds(e.RetryAfter)}
}

// RanName returns the word for ran in answers to callers: no, yes or unknown.
func RanName(ran api.Ran) string {
	switch ran {
	case api.Ran_RAN_NO:
		return "no"
	case api.Ran_RAN_YES:
		return "yes"
	}
	return "unknown"
}
