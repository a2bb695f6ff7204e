// Package publish is the command that publishes a new version of a list.
package publish

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/adminapi"
	"github.com/apricothub/apricothub/internal/adminclient"
	"github.com/apricothub/apricothub/internal/command/cli"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/settings"
)

const defaultTimeout = 30 * time.Second

// arguments of the command.
type arguments struct {
	remote   cli.Remote
	list     string
	path     string
	base     string
	author   string
	changeID string
	timeout  time.Duration
	until    string
	dryRun   bool
}

// Command makes the command.
func Command() *cli.Command {
	a := &arguments{timeout: defaultTimeout, until: UntilInForce}
	sub := cli.New("publish", "Publish a new version of a list, and wait until it is in force everywhere.",
		"apricothub dump plans > plans.ini     # and edit it\napricothub publish plans plans.ini")
	sub.AddPositionalValue(&a.list, "list", 1, true, "plans or uses.")
	sub.AddPositionalValue(&a.path, "file", 2, true, "The whole list, as INI.")
	a.remote.Flags(sub)
	sub.String(&a.base, "b", "base", "Offset of the list that the edit was made from; default: the file's first line, or the current one.")
	sub.String(&a.author, "u", "author", "Who publishes; default: user@host.")
	sub.String(&a.changeID, "i", "change-id", "Id of a change whose outcome was not told; it is not made twice.")
	sub.Duration(&a.timeout, "w", "wait", "Time to wait for accepted, and again for in force; at most 60s.")
	sub.String(&a.until, "x", "until", UntilHelp)
	sub.Bool(&a.dryRun, "n", "dry-run", "Check and show the difference; publish nothing.")
	return &cli.Command{Sub: sub, Run: a.run}
}

func (a *arguments) run(ctx context.Context, out, notes io.Writer) error {
	list := adminapi.ListNamed(a.list)
	if list == api.ListName_LIST_UNSPECIFIED {
		return cli.Usage("%q is not a list: plans or uses.", a.list)
	}
	if err := CheckWaiting(a.until, a.timeout); err != nil {
		return err
	}
	text, err := settings.ReadFile(a.path)
	if err != nil {
		return err
	}
	after, err := settings.Parse(list, a.path, text)
	if err != nil {
		return errors.Wrap(err, "nothing was published")
	}
	client, err := a.remote.Client()
	if err != nil {
		return err
	}
	now, err := client.List(ctx, a.list)
	if err != nil {
		return err
	}
	base, err := a.baseOf(string(text), now.Offset, notes)
	if err != nil {
		return err
	}
	before, err := settings.Parse(list, "the list in force", []byte(now.Text))
	if err != nil {
		return err
	}
	changed := printDifference(out, before, after)
	a.warn(ctx, client, list, after, notes)
	if a.dryRun && changed && base != now.Offset {
		return conflict(a.list, now.Offset, now.Author, now.ChangeID)
	}
	if a.dryRun {
		fmt.Fprintln(out, "Dry run: nothing was published.")
		return nil
	}
	return a.send(ctx, client, base, string(text), out)
}

const basePrefix = "# base = "

// BaseLine is the first line of a dumped list: it tells publish which version the
// edit was made from, so that nobody's change in between is overwritten.
func BaseLine(offset int64) string { return basePrefix + strconv.FormatInt(offset, 10) }

// baseOf finds the offset that the edit was made from.
func (a *arguments) baseOf(text string, current int64, notes io.Writer) (int64, error) {
	given, from := a.base, "-b"
	if given == "" {
		line, _, _ := strings.Cut(text, "\n")
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), basePrefix); ok {
			given, from = rest, "the file's first line"
		}
	}
	if given == "" && current >= 0 {
		fmt.Fprintf(notes, "No base is named: the edit is taken as made from the current list, offset %d.\n", current)
	}
	if given == "" {
		return current, nil
	}
	base, err := strconv.ParseInt(strings.TrimSpace(given), 10, 64)
	if err != nil {
		return 0, cli.Usage("%q in %s is not an offset.", given, from)
	}
	return base, nil
}

// warn tells of customers whose plan the other list does not describe.
func (a *arguments) warn(ctx context.Context, client *adminclient.Client, list api.ListName, after []*api.Section, notes io.Writer) {
	other := api.ListName_LIST_USES
	if list == other {
		other = api.ListName_LIST_PLANS
	}
	fetched, err := client.List(ctx, adminapi.NameOfList(other))
	if err != nil {
		return
	}
	sections, err := settings.Parse(other, "the other list", []byte(fetched.Text))
	if err != nil {
		return
	}
	plans, uses := after, sections
	if list == api.ListName_LIST_USES {
		plans, uses = sections, after
	}
	for _, warning := range settings.CheckAcrossLists(plans, uses) {
		fmt.Fprintln(notes, "warning:", warning)
	}
}

func (a *arguments) send(ctx context.Context, client *adminclient.Client, base int64, text string, out io.Writer) error {
	id := a.changeID
	if id == "" {
		id = cli.NewChangeID()
	}
	request := adminapi.PublishRequest{Base: base, Author: cli.Author(a.author), ChangeID: id, Text: text}
	change, err := client.Publish(ctx, a.list, request, adminapi.Accepted, a.timeout)
	if err != nil {
		return a.explain(err, id)
	}
	if change.State == adminapi.Unchanged {
		fmt.Fprintf(out, "The list is the one in force, offset %d: nothing to publish.\n", change.Offset)
		return nil
	}
	return Await(ctx, client, change, a.until, a.timeout, out)
}

// How far a command follows its change.
const (
	UntilAccepted = "accepted"
	UntilInForce  = "in-force"
	UntilHelp     = "How far to follow the change: accepted (it stands) or in-force (everywhere)."
)

// CheckWaiting refuses the flags of waiting that are out of their bounds.
func CheckWaiting(until string, timeout time.Duration) error {
	if until != UntilAccepted && until != UntilInForce {
		return cli.Usage("-x: %q is not %s or %s.", until, UntilAccepted, UntilInForce)
	}
	if timeout < 0 || timeout > adminapi.MaxWait {
		return cli.Usage("-w: %s is not between 0s and %s.", timeout, adminapi.MaxWait)
	}
	return nil
}

// Await tells of an accepted change and, unless told otherwise, waits until it is in
// force everywhere.
func Await(ctx context.Context, client *adminclient.Client, change *adminapi.Change, until string, timeout time.Duration, out io.Writer) error {
	fmt.Fprintf(out, "Accepted at offset %d: the change stands and will not be lost.\n", change.Offset)
	if until == UntilAccepted {
		return nil
	}
	last, err := client.Change(ctx, change.ChangeID, adminapi.InForce, timeout)
	if err != nil {
		return explainLag(err)
	}
	if last.State == adminapi.InForce {
		fmt.Fprintln(out, "In force everywhere.")
	}
	return nil
}

// explainLag names who has not applied an accepted change.
func explainLag(err error) error {
	var failed *adminclient.Failed
	if !errors.As(err, &failed) || failed.Details.Change == nil {
		return err
	}
	return result.Newf(api.ResultCode_NOT_CONFIRMED,
		"The change is accepted and need not be repeated, but these have not applied it: %s. Look at status: they are cut off or on their way out.",
		failed.Details.Change.Named())
}

// explain tells the operator how to go on.
func (a *arguments) explain(err error, id string) error {
	again := fmt.Sprintf("To learn what became of it, run the same command with -i %s: it makes no second change.", id)
	e := result.FromError(err)
	switch e.Code {
	case api.ResultCode_CONFLICT:
		return explainConflict(err, a.list)
	case api.ResultCode_NOT_CONFIRMED, api.ResultCode_UNREACHABLE:
		return result.New(e.Code, e.Text, again)
	}
	return withFaults(err)
}

func explainConflict(err error, list string) error {
	var failed *adminclient.Failed
	if errors.As(err, &failed) && failed.Details.Current != nil {
		return conflict(list, *failed.Details.Current, failed.Details.Author, failed.Details.ChangeID)
	}
	return result.New(api.ResultCode_CONFLICT, cameFirst, repeatEdit(list))
}

const cameFirst = "Another change came first, and nothing was published."

func repeatEdit(list string) string {
	return fmt.Sprintf("Run apricothub dump %s, repeat the edit there, and publish that.", list)
}

// conflict names the change in force that an edit was not made from.
func conflict(list string, offset int64, author, changeID string) error {
	by := ""
	if author != "" {
		by = fmt.Sprintf(", by %s (change %s)", author, changeID)
	}
	text := fmt.Sprintf("%s In force is offset %d%s.", cameFirst, offset, by)
	return result.New(api.ResultCode_CONFLICT, text, repeatEdit(list))
}

// withFaults adds what an entry found wrong with the list.
func withFaults(err error) error {
	var failed *adminclient.Failed
	if !errors.As(err, &failed) || len(failed.Details.Faults) == 0 {
		return err
	}
	return result.New(failed.Result.Code, failed.Result.Text+"\n"+strings.Join(failed.Details.Faults, "\n"))
}
