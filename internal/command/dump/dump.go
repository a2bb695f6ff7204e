// Package dump implements the command that prints the state of a process, a list in force, or
// metrics.
package dump

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/adminapi"
	"github.com/apricothub/apricothub/internal/adminclient"
	"github.com/apricothub/apricothub/internal/command/cli"
	"github.com/apricothub/apricothub/internal/command/publish"
)

// Kinds of output beside the two lists.
const (
	kindState   = "state"
	kindMetrics = "metrics"
)

// Command returns the dump command.
func Command() *cli.Command {
	remote, kind := &cli.Remote{}, kindState
	sub := cli.NewSubcommand("dump", "Print the state of a process, a list in force, or the metrics.",
		"apricothub dump -a 10.20.1.11:7401 state\napricothub dump plans > plans.ini")
	remote.AddFlags(sub)
	sub.AddPositionalValue(&kind, "what", 1, false, "state (as JSON), plans, uses or metrics.")
	return &cli.Command{Sub: sub, Run: func(ctx context.Context, out, _ io.Writer) error {
		client, err := remote.Client()
		if err != nil {
			return err
		}
		return printKind(ctx, client, kind, out)
	}}
}

func printKind(ctx context.Context, client *adminclient.Client, kind string, out io.Writer) error {
	switch kind {
	case kindState:
		return printState(ctx, client, out)
	case kindMetrics:
		text, err := client.Fetch(ctx, adminapi.PathMetrics)
		if err != nil {
			return err
		}
		_, err = out.Write(text)
		return err
	case adminapi.ListPlans, adminapi.ListUses:
		return printList(ctx, client, kind, out)
	}
	return cli.UsageErrorf("%q is not state, plans, uses or metrics.", kind)
}

func printState(ctx context.Context, client *adminclient.Client, out io.Writer) error {
	text, err := client.Fetch(ctx, adminapi.PathDump)
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, text, "", "  "); err != nil {
		return errors.Wrap(err, "the dump is not JSON")
	}
	_, err = indented.WriteTo(out)
	return err
}

// printList prints a list, preceded by the line that tells publish which version was edited.
func printList(ctx context.Context, client *adminclient.Client, name string, out io.Writer) error {
	list, err := client.List(ctx, name)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n%s", publish.BaseLine(list.Offset), list.Text)
	return err
}
