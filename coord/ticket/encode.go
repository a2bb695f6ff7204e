package ticket

import (
	"encoding/base64"
	"strings"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

const (
	// prefix identifies the text form of a ticket and its version.
	prefix = "t1."
	// maxTextBytes limits the length of the text, so that a hostile header is cheap to reject.
	maxTextBytes = 1024
	// maxNameBytes limits the length of each name in a ticket.
	maxNameBytes = 255
)

// ErrMalformed is returned for text that is not a ticket.
var ErrMalformed = errors.New("malformed ticket")

// Encode returns the text form of a ticket, which a caller sends as Idempotency-Key. It
// consists of letters, digits, '.', '-' and '_'.
func Encode(t *api.Ticket) string {
	// Marshal fails only for strings that are not UTF-8, and names are checked when the
	// settings are read. Decode refuses the empty ticket that results from a failure.
	data, _ := proto.Marshal(t)
	return prefix + base64.RawURLEncoding.EncodeToString(data)
}

// Decode parses the text form of a ticket. It checks the form only; the agent that the
// ticket names checks its MAC.
func Decode(text string) (*api.Ticket, error) {
	if len(text) > maxTextBytes {
		return nil, errors.Wrap(ErrMalformed, "the text is too long")
	}
	body, ok := strings.CutPrefix(text, prefix)
	if !ok {
		return nil, errors.Wrap(ErrMalformed, "the prefix is missing or of another version")
	}
	// The base64 decoder ignores line ends, which are not valid in a header.
	if strings.ContainsAny(body, "\r\n") {
		return nil, errors.Wrap(ErrMalformed, "the text contains a line end")
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(body)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, "the text is not valid base64")
	}
	t := &api.Ticket{}
	if err := proto.Unmarshal(data, t); err != nil {
		return nil, errors.Wrap(ErrMalformed, "the data is not a valid ticket message")
	}
	if !isWellFormed(t) {
		return nil, errors.Wrap(ErrMalformed, "a field is unknown, missing or of the wrong size")
	}
	return t, nil
}

func isWellFormed(t *api.Ticket) bool {
	return len(t.ProtoReflect().GetUnknown()) == 0 &&
		isValidName(t.GetAgentVm()) &&
		isValidName(t.GetIncarnation()) &&
		t.GetExpiryMs() > 0 &&
		len(t.GetCustomer()) == customerDigestSize &&
		len(t.GetMac()) == macSize
}

func isValidName(name string) bool {
	return name != "" && len(name) <= maxNameBytes
}
