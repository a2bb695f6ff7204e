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
	return platformCommand("gateway", "Run an entry that calls backend servers itself, on the users' platform.", serve)
}

// RankAgent makes the command that runs the process beside a model engine.
func RankAgent(serve func(context.Context, *platform.Settings, log.Logger) error) *cli.Command {
	return platformCommand("rank-agent", "Run the process beside a model engine, on the users' platform.", serve)
}

const platformSignalsHelp = "\n  Signals:\n" +
	"    SIGTERM   Stop gracefully: no request is cut. Further ones change nothing.\n" +
	"    SIGINT    The same; a second one stops at once.\n" +
	"    SIGHUP    Read the settings again, and log what they say.\n"

// ignoreFurtherSIGTERM keeps further signals to stop from ending the process at once, until the returned
// function is called.
//
// Load: the platform asks a process to stop more than once, as when a VM is replaced while its
// zone is taken down. Harm prevented: the second request to stop cuts what the first one lets
// come to its end. The platform ends a process by force when the grace period is over; an
// operator at a terminal has SIGINT.
func ignoreFurtherSIGTERM() func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	return func() { signal.Stop(signals) }
}

// platformCommand makes the command of a process whose settings come from the platform, and
// whose log goes to standard output, as the platform collects it.
func platformCommand(name, description string, serve func(context.Context, *platform.Settings, log.Logger) error) *cli.Command {
	minLevel, linesPerSecond := "info", logging.DefaultLines
	sub := cli.NewSubcommand(name, description, "apricothub "+name)
	sub.AdditionalHelpAppend = platformSignalsHelp + sub.AdditionalHelpAppend
	sub.String(&minLevel, "l", "log-level", "Least level of the log: debug, info, warn, error or none.")
	sub.Int(&linesPerSecond, "n", "log-lines", "Most lines of the log in any second; 40 or more.")
	return &cli.Command{Sub: sub, Run: func(ctx context.Context, out, _ io.Writer) error {
		loaded, err := platform.LoadSettings()
		if err != nil {
			return err
		}
		if linesPerSecond < logging.LeastLines {
			return cli.UsageErrorf("--log-lines %d is below %d.", linesPerSecond, logging.LeastLines)
		}
		logger, err := logging.Open(out, name, loaded.VM, minLevel, linesPerSecond)
		if err != nil {
			return cli.UsageErrorf("%v.", err)
		}
		defer logger.Close()
		defer ignoreFurtherSIGTERM()()
		reload := func(ctx context.Context) error { return reloadOnSIGHUP(ctx, logger) }
		return runUntilSignal(ctx, reload, func(ctx context.Context) error { return serve(ctx, loaded, logger) })
	}}
}

// reloadOnSIGHUP reads the platform's settings on each SIGHUP. The addresses, and all else
// that a process uses of them, hold for its life; what has changed is logged.
func reloadOnSIGHUP(ctx context.Context, logger log.Logger) error {
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
					"result", badSettingsLabel, "err", err)
				continue
			}
			_ = level.Info(logger).Log("msg", "The settings were read.", "seeds", len(next.Seeds))
		}
	}
}
