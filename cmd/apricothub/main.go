// Command apricothub is a load balancer for expert-parallel model groups. It runs the entry, the
// agent, the gateway and the rank agent, and holds the operators' commands.
package main

import (
	"context"
	"os"

	"github.com/integrii/flaggy"

	"github.com/apricothub/apricothub/internal/agent"
	"github.com/apricothub/apricothub/internal/command/check"
	"github.com/apricothub/apricothub/internal/command/cli"
	"github.com/apricothub/apricothub/internal/command/daemon"
	"github.com/apricothub/apricothub/internal/command/dump"
	"github.com/apricothub/apricothub/internal/command/explain"
	"github.com/apricothub/apricothub/internal/command/mark"
	"github.com/apricothub/apricothub/internal/command/publish"
	"github.com/apricothub/apricothub/internal/command/status"
	"github.com/apricothub/apricothub/internal/command/version"
	"github.com/apricothub/apricothub/internal/entry"
	"github.com/apricothub/apricothub/internal/gateway"
	"github.com/apricothub/apricothub/internal/rankagent"
)

func main() {
	parser := flaggy.NewParser("apricothub")
	parser.Description = "A load balancer for expert-parallel model groups. Run SUBCOMMAND --help for more."
	parser.AdditionalHelpAppend = "\n  Example:\n    apricothub status -a 10.20.1.11:7401"
	// The library's version flag would hide the version subcommand.
	parser.DisableShowVersionWithVersion()
	commands := []*cli.Command{
		daemon.Entry(entry.Run),
		daemon.Agent(agent.Run),
		daemon.Gateway(gateway.Run),
		daemon.RankAgent(rankagent.Run),
		publish.Command(),
		mark.Command(),
		status.Command(),
		dump.Command(),
		explain.Command(os.Stdin),
		check.Command(),
		version.Command(),
	}
	os.Exit(cli.Main(context.Background(), parser, commands, os.Args[1:], os.Stdout, os.Stderr))
}
