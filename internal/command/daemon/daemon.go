// Package daemon implements the commands that run an entry, agent, gateway or rank agent until a
// signal stops it.
package daemon

import (
	"context"
	"io"
	"os"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/oklog/run"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/command/cli"
	"github.com/apricothub/apricothub/internal/logging"
	"github.com/apricothub/apricothub/internal/resources"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/settings"
)

const signalsHelp = "\n  Signals:\n" + stopSignalsHelp +
	"    SIGHUP    Read the settings that may change while the process runs.\n"

const stopSignalsHelp = "    SIGTERM   Stop gracefully: no request is cut. Further ones change nothing.\n" +
	"    SIGINT    The same; a second one stops at once.\n"

// Entry returns the command that runs an entry.
func Entry(serve func(context.Context, *api.EntrySettings, log.Logger) error) *cli.Command {
	return settingsCommand("entry", "Run an entry: the process that callers reach.", settings.LoadEntry,
		(*api.EntrySettings).GetSelf, (*api.EntrySettings).GetLog, serve)
}

// Agent returns the command that runs an agent.
func Agent(serve func(context.Context, *api.AgentSettings, log.Logger) error) *cli.Command {
	return settingsCommand("agent", "Run an agent: the process before a backend server.", settings.LoadAgent,
		(*api.AgentSettings).GetSelf, (*api.AgentSettings).GetLog, func(ctx context.Context, s *api.AgentSettings, logger log.Logger) error {
			limitProcessors(maxAgentProcessors)
			return serve(ctx, s, logger)
		})
}

// settingsCommand returns the command of a process whose settings of type S come from a file.
func settingsCommand[S proto.Message](
	name, description string,
	load func(path string) (S, error),
	selfOf func(S) *api.Self,
	logOf func(S) *api.Log,
	serve func(context.Context, S, log.Logger) error,
) *cli.Command {
	path := ""
	sub := cli.NewSubcommand(name, description, "apricothub "+name+" -c /etc/apricothub/"+name+".ini")
	sub.AdditionalHelpAppend = signalsHelp + sub.AdditionalHelpAppend
	sub.String(&path, "c", "config", "Settings file (INI); docs/SETTINGS.md lists its keys.")
	return &cli.Command{Sub: sub, Run: func(ctx context.Context, out, _ io.Writer) error {
		if path == "" {
			return cli.UsageErrorf("Name the settings file: -c FILE.")
		}
		terminate, stopTerminate := receive(syscall.SIGTERM)
		defer stopTerminate()
		hangup, stopHangup := receive(syscall.SIGHUP)
		defer stopHangup()
		loaded, err := load(path)
		if err != nil {
			return err
		}
		logSettings := logOf(loaded)
		logger, err := logging.Open(out, name, selfOf(loaded).GetVm(), logSettings.GetLevel(), int(logSettings.GetLinesPerSecond()))
		if err != nil {
			return errors.Wrap(err, "log level")
		}
		defer logger.Close()
		r := newReloader(
			func() (S, error) { return load(path) },
			func(s S) error { return logger.Set(logOf(s).GetLevel()) },
			logger, loaded,
		)
		resources.Of(0, 0).LimitHeap()
		return runUntilSignal(ctx, func(ctx context.Context) error { return serve(ctx, loaded, logger) },
			func(ctx context.Context) error { return r.reloadOnSIGHUP(ctx, hangup) },
			func(ctx context.Context) error { return awaitSignal(ctx, terminate) })
	}}
}

// runUntilSignal runs tasks until one of them ends or the first SIGINT, and returns after a graceful shutdown.
func runUntilSignal(ctx context.Context, tasks ...func(context.Context) error) error {
	var group run.Group
	// The first signal removes the handler, so that a second one ends the process at once. An
	// operator at a terminal need not wait for a long drain.
	group.Add(run.SignalHandler(ctx, syscall.SIGINT))
	for _, task := range tasks {
		taskCtx, cancel := context.WithCancel(ctx)
		group.Add(func() error { return task(taskCtx) }, func(error) { cancel() })
	}
	err := group.Run()
	if errors.Is(err, run.ErrSignal) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// reloader reads the settings file again while the process runs.
type reloader[S proto.Message] struct {
	load   func() (S, error)
	apply  func(S) error
	logger log.Logger
	// current holds the settings last read, running those that the process started with. A changed
	// key that needs a restart is reported as long as the two differ.
	current, running S
}

func newReloader[S proto.Message](load func() (S, error), apply func(S) error, logger log.Logger, running S) *reloader[S] {
	return &reloader[S]{load: load, apply: apply, logger: logger, current: running, running: running}
}

// reloadOnSIGHUP reloads the settings on each SIGHUP until the context ends.
func (r *reloader[S]) reloadOnSIGHUP(ctx context.Context, hangup <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangup:
			r.reload()
		}
	}
}

// badSettingsLabel is the result in log lines about the settings file.
var badSettingsLabel = result.Label(api.ResultCode_BAD_SETTINGS)

// reload applies the settings that can change at run time and logs those that need a restart. An
// invalid file changes nothing.
func (r *reloader[S]) reload() {
	next, err := r.load()
	if err != nil {
		_ = level.Error(r.logger).Log("msg", "The settings file has faults. Nothing was changed.",
			"result", badSettingsLabel, "err", err)
		return
	}
	for _, change := range settings.Changes(r.current, next) {
		if change.Reload {
			_ = level.Info(r.logger).Log("msg", "A setting has changed.", "section", change.Section, "key", change.Key)
		}
	}
	pending := 0
	for _, change := range settings.Changes(r.running, next) {
		if !change.Reload {
			pending++
			_ = level.Warn(r.logger).Log("msg", "A changed setting needs a restart.", "section", change.Section, "key", change.Key)
		}
	}
	if err := r.apply(next); err != nil {
		_ = level.Error(r.logger).Log("msg", "The settings cannot be applied.", "result", badSettingsLabel, "err", err)
		return
	}
	r.current = next
	_ = level.Info(r.logger).Log("msg", "The settings were read.", "need_restart", pending)
}
