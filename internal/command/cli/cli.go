// Package cli holds what the commands of apricothub share: their type, the flags of commands that
// talk to a process, and the exit status of an error.
package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/adminclient"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/settings"
)

// Exit statuses that are not derived from a result code.
const (
	exitOK    = 0
	exitError = 1
	// ExitUsage is the status for invalid arguments, settings or lists.
	ExitUsage = 2
)

// Environment variables used when -a or -t is not given.
const (
	envAddress = "APRICOTHUB_ADMIN"
	envToken   = "APRICOTHUB_TOKEN"
)

// Command is one subcommand.
type Command struct {
	Sub *flaggy.Subcommand
	// Run executes the command after the arguments are parsed. It writes the requested output to
	// out, and warnings and notes to errOut.
	Run func(ctx context.Context, out, errOut io.Writer) error
}

// NewSubcommand returns a subcommand whose help ends with the example.
func NewSubcommand(name, description, example string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	sub.AdditionalHelpAppend = "\n  Example:\n    " + strings.ReplaceAll(example, "\n", "\n    ")
	return sub
}

// Main parses the arguments, runs the command they name and returns the exit status. The parser
// itself exits the program after --help or an invalid flag.
func Main(ctx context.Context, parser *flaggy.Parser, commands []*Command, args []string, out, errOut io.Writer) int {
	for _, c := range commands {
		parser.AttachSubcommand(c.Sub, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(errOut, "apricothub:", err)
		return ExitUsage
	}
	for _, c := range commands {
		if c.Sub.Used {
			return reportError(c.Run(ctx, out, errOut), errOut)
		}
	}
	parser.ShowHelpWithMessage("Name a subcommand.")
	return ExitUsage
}

// reportError prints an error, if any, and returns the exit status.
func reportError(err error, errOut io.Writer) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errOut, "apricothub:", err)
	return ExitStatus(err)
}

// ExitStatus returns the exit status of an error: that of its result code, ExitUsage for a file
// with faults, otherwise 1.
func ExitStatus(err error) int {
	var faults settings.Faults
	if errors.As(err, &faults) {
		return ExitUsage
	}
	var e *result.Error
	if errors.As(err, &e) {
		return result.Lookup(e.Code).Exit
	}
	return exitError
}

// UsageErrorf returns an error about the arguments.
func UsageErrorf(format string, args ...any) error {
	return &usageError{result: result.Newf(api.ResultCode_BAD_LIST, format, args...)}
}

// usageError has the exit status of BAD_LIST. Its text shows no result code, since the error is in
// the command line and not an answer of the system.
type usageError struct{ result *result.Error }

func (e *usageError) Error() string { return e.result.Text }
func (e *usageError) Unwrap() error { return e.result }

// Remote holds the flags of a command that talks to a process.
type Remote struct {
	address string
	token   string
}

// AddFlags adds the flags to a subcommand.
func (r *Remote) AddFlags(sub *flaggy.Subcommand) {
	sub.String(&r.address, "a", "admin", "Admin address of any entry, IP:port; or "+envAddress+".")
	sub.String(&r.token, "t", "token", "Operators' token; better in "+envToken+", where other users do not see it.")
}

// Client returns a client for the address and token given by the flags or the environment.
func (r *Remote) Client() (*adminclient.Client, error) {
	address, token := valueOrEnv(r.address, envAddress), valueOrEnv(r.token, envToken)
	if address == "" {
		return nil, UsageErrorf("Name an admin address: -a IP:port, or %s.", envAddress)
	}
	if token == "" {
		return nil, UsageErrorf("Give the operators' token: %s, or -t.", envToken)
	}
	client, err := adminclient.New(address, token)
	if err != nil {
		return nil, UsageErrorf("%s", result.FromError(err).Text)
	}
	return client, nil
}

func valueOrEnv(value, name string) string {
	if value != "" {
		return value
	}
	return os.Getenv(name)
}

// Author returns the name under which a command is recorded in status and conflict messages: the
// given name, or user@host.
func Author(name string) string {
	if name != "" {
		return name
	}
	host, _ := os.Hostname()
	user := os.Getenv("USER")
	if user == "" {
		user = "operator"
	}
	return user + "@" + host
}

// idBytes is the length of a change id, long enough that random ids do not collide.
const idBytes = 16

// NewChangeID returns a random id for a change.
func NewChangeID() string {
	var id [idBytes]byte
	// Read fills the slice or ends the program.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
