// Package cli is what the commands of apricothub share: their form, the flags of
// those that talk to a process, and how an error becomes an exit status.
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

// Exit statuses that no result code gives.
const (
	exitOK    = 0
	exitError = 1
	// ExitUsage is for arguments, settings or lists with an error.
	ExitUsage = 2
)

// Environment variables that stand in for -a and -t.
const (
	envAddress = "APRICOTHUB_ADMIN"
	envToken   = "APRICOTHUB_TOKEN"
)

// Command is one subcommand.
type Command struct {
	Sub *flaggy.Subcommand
	// Run does the work once the arguments are parsed. It writes to out what the
	// user asked for, and to notes what else the user should know.
	Run func(ctx context.Context, out, errOut io.Writer) error
}

// NewSubcommand makes a subcommand. The help ends with the example.
func NewSubcommand(name, description, example string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	sub.AdditionalHelpAppend = "\n  Example:\n    " + strings.ReplaceAll(example, "\n", "\n    ")
	return sub
}

// Main parses the arguments, runs the command they name and returns the exit
// status. The parser itself ends the program after --help or a wrong flag.
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

// reportError reports an error and gives its exit status.
func reportError(err error, errOut io.Writer) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errOut, "apricothub:", err)
	return ExitStatus(err)
}

// ExitStatus gives the exit status of an error: by its result code, ExitUsage for a
// file with faults, otherwise 1.
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

// UsageErrorf makes an error about the arguments.
func UsageErrorf(format string, args ...any) error {
	return &usageError{result: result.Newf(api.ResultCode_BAD_LIST, format, args...)}
}

// usageError has the exit status of BAD_LIST and shows no code: nothing was asked
// of the system.
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

// Client makes the client that the flags or the environment describe.
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

// Author names who gives a command, for status and conflict messages.
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

// idBytes makes two change ids differ for certain in practice.
const idBytes = 16

// NewChangeID makes the random id of a change.
func NewChangeID() string {
	var id [idBytes]byte
	// Read fills the slice or ends the program.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
