package daemon

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/internal/command/cli"
	"github.com/apricothub/apricothub/internal/logging"
	"github.com/apricothub/apricothub/platform"
)

// Gateway makes the command that runs the entry of the users' platform.
func Gateway(serve func(context.Context, *platform.Settings, log.Logger) error) *cli.Command {
	return onPlatform("gateway", "Run an entry that calls backend servers itself, on the users' platform.", serve)
}

// RankAgent makes the command that runs the process beside a model engine.
func RankAgent(serve func(context.Context, *platform.Settings, log.Logger) error) *cli.Command {
	return onPlatform("rank-agent", "Run the process beside a model engine, on the users' platform.", serve)
}

const platformSignals = "\n  Signals:\n" +
	"    SIGTERM   Stop gracefully: no request is cut. Further ones change nothing.\n" +
	"    SIGINT    The same; a second one stops at once.\n" +
	"    SIGHUP    Read the settings again, and log what they say.\n"

// holdOff keeps further signals to stop from ending the process at once, until the returned
// function is called.
//
// Load: the platform asks a process to stop more than once, as when a VM is replaced while its
// zone is taken down. Harm prevented: the second request to stop cuts what the first one lets
// come to its end. The platform ends a process by force when the grace period is over; an
// operator at a terminal has SIGINT.
func holdOff() func() {
	further := make(chan os.Signal, 1)
	signal.Notify(further, syscall.SIGTERM)
	return func() { signal.Stop(further) }
}

// onPlatform makes the command of a process whose settings come from the platform, and
// whose log goes to standard output, as the platform collects it.
func onPlatform(name, description string, serve func(context.Context, *platform.Settings, log.Logger) error) *cli.Command {
	least, lines := "info", logging.DefaultLinesPerSecond
	sub := cli.New(name, description, "apricothub "+name)
	sub.AdditionalHelpAppend = platformSignals + sub.AdditionalHelpAppend
	sub.String(&least, "l", "log-level", "Least level of the log: debug, info, warn, error or none.")
	sub.Int(&lines, "n", "log-lines", "Most lines of the log in any second; 40 or more.")
	return &cli.Command{Sub: sub, Run: func(ctx context.Context, out, _ io.Writer) error {
		loaded, err := platform.LoadSettings()
		if err != nil {
			return err
		}
		if lines < logging.MinLinesPerSecond {
			return cli.Usage("--log-lines %d is below %d.", lines, logging.MinLinesPerSecond)
		}
		logger, err := logging.Open(out, name, loaded.VM, least, lines)
		if err != nil {
			return cli.Usage("%v.", err)
		}
		defer logger.Close()
		defer holdOff()()
		watch := func(ctx context.Context) error { return watchSettings(ctx, logger) }
		return untilSignal(ctx, watch, func(ctx context.Context) error { return serve(ctx, loaded, logger) })
	}}
}

// watchSettings reads the platform's settings on each SIGHUP. The addresses, and all else
// that a process uses of them, hold for its life; what has changed is logged.
func watchSettings(ctx context.Context, logger log.Logger) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangup:
			next, err := platform.LoadSettings()
			if err != nil {
				_ = level.Error(logger).Log("msg", "The settings file has faults. Nothing was changed.",
					"result", badSettings, "err", err)
				continue
			}
			_ = level.Info(logger).Log("msg", "The settings were read.", "seeds", len(next.Seeds))
		}
	}
}
