package ticket

import (
	"encoding/base64"
	"strings"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

const (
	// prefix marks the text form and its version.
	prefix = "t1."
	// maxTextBytes bounds the text, so that a hostile header costs little.
	maxTextBytes = 1024
	// maxNameBytes bounds the names inside a ticket.
	maxNameBytes = 255
)

// ErrMalformed is returned for text that is not a ticket.
var ErrMalformed = errors.New("not a ticket")

// Encode returns the text that a caller sends as Idempotency-Key. It has only
// letters, digits, '.', '-' and '_'.
func Encode(t *api.Ticket) string {
	// Marshal fails only for text that is not UTF-8, and names are checked when the
	// settings are read; the empty ticket that it leaves is refused by Decode.
	data, _ := proto.Marshal(t)
	return prefix + base64.RawURLEncoding.EncodeToString(data)
}

// Decode reads the text form of a ticket. It checks the form only; that the ticket
// is genuine is checked by the agent that it names.
func Decode(text string) (*api.Ticket, error) {
	if len(text) > maxTextBytes {
		return nil, errors.Wrap(ErrMalformed, "too long")
	}
	body, ok := strings.CutPrefix(text, prefix)
	if !ok {
		return nil, errors.Wrap(ErrMalformed, "prefix")
	}
	// The decoder passes over line ends, which have no place in a header.
	if strings.ContainsAny(body, "\r\n") {
		return nil, errors.Wrap(ErrMalformed, "line end")
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(body)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, "base64")
	}
	t := &api.Ticket{}
	if err := proto.Unmarshal(data, t); err != nil {
		return nil, errors.Wrap(ErrMalformed, "message")
	}
	if !isWellFormed(t) {
		return nil, errors.Wrap(ErrMalformed, "fields")
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
