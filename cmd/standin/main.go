// Command standin runs the stand-ins for the platform, the engines and the plain services, for
// demonstrations and tests. It is never shipped.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/integrii/flaggy"

	"github.com/apricothub/apricothub/internal/standin/demo"
	"github.com/apricothub/apricothub/internal/standin/engine"
	"github.com/apricothub/apricothub/internal/standin/platform"
	"github.com/apricothub/apricothub/internal/standin/service"
)

// command is a subcommand and the function that it runs.
type command struct {
	*flaggy.Subcommand
	run func(log.Logger) error
}

func main() {
	parser := flaggy.NewParser("standin")
	parser.Description = "Plays the platform, engines and plain services. Never shipped."
	commands := []command{platformCommand(), engineCommand(), serviceCommand(), demoCommand()}
	for _, c := range commands {
		parser.AttachSubcommand(c.Subcommand, 1)
	}
	if err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(2)
	}
	for _, c := range commands {
		if !c.Used {
			continue
		}
		logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
		logger = log.With(logger, "ts", log.DefaultTimestampUTC, "part", c.Name)
		if err := c.run(logger); err != nil {
			_ = logger.Log("msg", "The stand-in failed.", "err", err)
			os.Exit(1)
		}
		return
	}
	parser.ShowHelpAndExit("standin: name a subcommand")
}

func platformCommand() command {
	c := flaggy.NewSubcommand("platform")
	c.Description = "Log, list of VMs, weight store and fabric."
	listen := "127.0.0.1:0"
	c.String(&listen, "", "listen", "Address to listen on.")
	return command{c, func(logger log.Logger) error { return platform.Run(listen, logger) }}
}

func engineCommand() command {
	c := flaggy.NewSubcommand("engine")
	c.Description = "A model engine."
	config := engine.Config{
		Listen:    "127.0.0.1:0",
		TokenTime: 5 * time.Millisecond,
		FullLimit: 32,
		Cold:      engine.ColdConfig{Limit: 2, RequestsUntilWarm: 8, CrashTime: time.Second},
		Ranks:     engine.RankConfig{MinStepTime: 5 * time.Millisecond},
	}
	c.String(&config.Listen, "", "listen", "Address to listen on.")
	c.String(&config.Platform, "", "platform", "Base URL of the platform.")
	c.Duration(&config.TokenTime, "", "token", "Time of one token when warm.")
	c.Int(&config.FullLimit, "", "full", "Requests that run concurrently; others wait.")
	c.Bool(&config.CheckFence, "", "check-fence", "Refuses orders with an outdated fencing number.")
	c.Int(&config.Cold.Limit, "", "cold", "Concurrent requests that a cold engine can handle; 0 for never cold.")
	c.Int(&config.Cold.RequestsUntilWarm, "", "warm-after", "Completed requests after which the engine is warm.")
	c.Duration(&config.Cold.CrashTime, "", "fall", "How long all requests fail after an overload.")
	c.String(&config.Ranks.Group, "", "group", "Group of the ranks; empty for none.")
	c.Int(&config.Ranks.FirstRank, "", "first-rank", "First rank of the engine.")
	c.Int(&config.Ranks.Ranks, "", "ranks", "Number of ranks of the engine.")
	c.Int(&config.Ranks.GroupSize, "", "group-size", "Number of ranks of the whole group.")
	c.Duration(&config.Ranks.MinStepTime, "", "step", "Minimum time of one step.")
	return command{c, func(logger log.Logger) error { return engine.Run(config, logger) }}
}

func serviceCommand() command {
	c := flaggy.NewSubcommand("service")
	c.Description = "A plain service with a ledger."
	listen := "127.0.0.1:0"
	c.String(&listen, "", "listen", "Address to listen on.")
	return command{c, func(logger log.Logger) error { return service.Serve(listen, logger) }}
}

func demoCommand() command {
	c := flaggy.NewSubcommand("demo")
	c.Description = "Runs the whole system as separate processes and reports whether it worked."
	bin := "bin"
	c.String(&bin, "", "bin", "Directory of the binaries.")
	return command{c, func(log.Logger) error {
		if !demo.Run(bin, os.Stdout) {
			return errors.New("the demonstration failed")
		}
		return nil
	}}
}
