package daemon

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/oklog/run"

	"github.com/apricothub/apricothub/internal/command/cli"
	"github.com/apricothub/apricothub/internal/logging"
	"github.com/apricothub/apricothub/internal/resources"
	"github.com/apricothub/apricothub/platform"
)

// Gateway returns the command that runs a gateway, the entry on the users' platform.
func Gateway(serve func(context.Context, *platform.Settings, log.Logger) error) *cli.Command {
	return platformCommand("gateway", "Run an entry that calls backend servers itself, on the users' platform.", serve)
}

// RankAgent returns the command that runs the process beside a model engine.
func RankAgent(serve func(context.Context, *platform.Settings, log.Logger) error) *cli.Command {
	return platformCommand("rank-agent", "Run the process beside a model engine, on the users' platform.", serve)
}

const platformSignalsHelp = "\n  Signals:\n" + stopSignalsHelp +
	"    SIGHUP    Read the settings again, and log what they say.\n"

// receive returns a channel that receives a signal from now on, until stop is called.
//
// It is called before anything else: a signal that comes while the process reads its settings would
// otherwise end it. SIGTERM stays received during a graceful shutdown. The platform may stop a process
// more than once, for example when a VM is replaced while its zone is taken down, and the second SIGTERM
// would cut the requests that the first one lets finish. The platform kills the process when the grace
// period is over; an operator at a terminal can use SIGINT.
func receive(s os.Signal) (received <-chan os.Signal, stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, s)
	return signals, func() { signal.Stop(signals) }
}

// platformCommand returns the command of a process whose settings come from the platform and that
// logs to standard output, where the platform collects the log.
func platformCommand(name, description string, serve func(context.Context, *platform.Settings, log.Logger) error) *cli.Command {
	minLevel, linesPerSecond := "info", logging.DefaultLinesPerSecond
	sub := cli.NewSubcommand(name, description, "apricothub "+name)
	sub.AdditionalHelpAppend = platformSignalsHelp + sub.AdditionalHelpAppend
	sub.String(&minLevel, "l", "log-level", "Least level of the log: debug, info, warn, error or none.")
	sub.Int(&linesPerSecond, "n", "log-lines", "Most lines of the log in any second; 40 or more.")
	return &cli.Command{Sub: sub, Run: func(ctx context.Context, out, _ io.Writer) error {
		terminate, stopTerminate := receive(syscall.SIGTERM)
		defer stopTerminate()
		hangup, stopHangup := receive(syscall.SIGHUP)
		defer stopHangup()
		loaded, err := platform.LoadSettings()
		if err != nil {
			return err
		}
		if linesPerSecond < logging.MinLinesPerSecond {
			return cli.UsageErrorf("--log-lines %d is below %d.", linesPerSecond, logging.MinLinesPerSecond)
		}
		logger, err := logging.Open(out, name, loaded.VM, minLevel, linesPerSecond)
		if err != nil {
			return cli.UsageErrorf("%v.", err)
		}
		defer logger.Close()
		resources.Of(loaded.MemoryBytes, loaded.Descriptors).LimitHeap()
		return runUntilSignal(ctx,
			func(ctx context.Context) error { return serve(ctx, loaded, logger) },
			func(ctx context.Context) error { return reloadOnSIGHUP(ctx, hangup, logger) },
			func(ctx context.Context) error { return awaitSignal(ctx, terminate) })
	}}
}

// awaitSignal returns run.ErrSignal once a signal is received.
func awaitSignal(ctx context.Context, received <-chan os.Signal) error {
	select {
	case <-received:
		return run.ErrSignal
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reloadOnSIGHUP reads the platform's settings on each SIGHUP and logs that it did. A running
// process does not change its addresses or the other settings that it uses.
func reloadOnSIGHUP(ctx context.Context, hangup <-chan os.Signal, logger log.Logger) error {
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
