// Package version implements the command that prints the program's version.
package version

import (
	"context"
	"fmt"
	"io"
	"runtime"

	"github.com/apricothub/apricothub/internal/command/cli"
	"github.com/apricothub/apricothub/internal/version"
)

// Command returns the version command.
func Command() *cli.Command {
	return &cli.Command{
		Sub: cli.NewSubcommand("version", "Print the version.", "apricothub version"),
		Run: func(_ context.Context, out, _ io.Writer) error {
			_, err := fmt.Fprintln(out, "apricothub", version.String(), runtime.Version())
			return err
		},
	}
}
