// Package status implements the command that shows the system on one screen.
package status

import (
	"context"
	"encoding/json"
	"io"

	"github.com/apricothub/apricothub/internal/command/cli"
)

// Command returns the status command.
func Command() *cli.Command {
	remote, asJSON := &cli.Remote{}, false
	sub := cli.NewSubcommand("status", "Show members, failure domains, offsets, backend servers and groups on one screen.",
		"apricothub status -a 10.20.1.11:7401")
	remote.AddFlags(sub)
	sub.Bool(&asJSON, "j", "json", "Print everything as JSON.")
	return &cli.Command{Sub: sub, Run: func(ctx context.Context, out, _ io.Writer) error {
		client, err := remote.Client()
		if err != nil {
			return err
		}
		status, err := client.Status(ctx)
		if err != nil {
			return err
		}
		if asJSON {
			encoder := json.NewEncoder(out)
			encoder.SetIndent("", "  ")
			return encoder.Encode(status)
		}
		_, err = io.WriteString(out, Render(status))
		return err
	}}
}
