// Package publish implements the command that publishes a new version of a list.
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

// Command returns the publish command.
func Command() *cli.Command {
	a := &arguments{timeout: defaultTimeout, until: UntilInForce}
	sub := cli.NewSubcommand("publish", "Publish a new version of a list, and wait until it is in force everywhere.",
		"apricothub dump plans > plans.ini     # and edit it\napricothub publish plans plans.ini")
	sub.AddPositionalValue(&a.list, "list", 1, true, "plans or uses.")
	sub.AddPositionalValue(&a.path, "file", 2, true, "The whole list, as INI.")
	a.remote.AddFlags(sub)
	sub.String(&a.base, "b", "base", "Offset of the list that the edit was made from; default: the file's first line, or the current one.")
	sub.String(&a.author, "u", "author", "Who publishes; default: user@host.")
	sub.String(&a.changeID, "i", "change-id", "Id of a change whose outcome was not told; it is not made twice.")
	sub.Duration(&a.timeout, "w", "wait", "Time to wait for accepted, and again for in force; at most 60s.")
	sub.String(&a.until, "x", "until", UntilHelp)
	sub.Bool(&a.dryRun, "n", "dry-run", "Check and show the difference; publish nothing.")
	return &cli.Command{Sub: sub, Run: a.run}
}

func (a *arguments) run(ctx context.Context, out, errOut io.Writer) error {
	list := adminapi.ParseListName(a.list)
	if list == api.ListName_LIST_UNSPECIFIED {
		return cli.UsageErrorf("%q is not a list: plans or uses.", a.list)
	}
	if err := CheckWaitFlags(a.until, a.timeout); err != nil {
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
	current, err := client.List(ctx, a.list)
	if err != nil {
		return err
	}
	base, err := a.resolveBase(string(text), current.Offset, errOut)
	if err != nil {
		return err
	}
	before, err := settings.Parse(list, "the list in force", []byte(current.Text))
	if err != nil {
		return err
	}
	changed := printDiff(out, before, after)
	a.warnAboutPlans(ctx, client, list, after, errOut)
	if a.dryRun && changed && base != current.Offset {
		return conflictError(a.list, current.Offset, current.Author, current.ChangeID)
	}
	if a.dryRun {
		fmt.Fprintln(out, "Dry run: nothing was published.")
		return nil
	}
	return a.send(ctx, client, base, string(text), out)
}

const basePrefix = "# base = "

// BaseLine returns the first line of a dumped list. It tells publish which version was edited, so
// that changes published since are not overwritten.
func BaseLine(offset int64) string { return basePrefix + strconv.FormatInt(offset, 10) }

// resolveBase returns the offset of the list version that was edited.
func (a *arguments) resolveBase(text string, current int64, errOut io.Writer) (int64, error) {
	value, source := a.base, "-b"
	if value == "" {
		line, _, _ := strings.Cut(text, "\n")
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), basePrefix); ok {
			value, source = rest, "the file's first line"
		}
	}
	if value == "" && current >= 0 {
		fmt.Fprintf(errOut, "No base is named: the edit is taken as made from the current list, offset %d.\n", current)
	}
	if value == "" {
		return current, nil
	}
	base, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
	if err != nil {
		return 0, cli.UsageErrorf("%q in %s is not an offset.", value, source)
	}
	return base, nil
}

// warnAboutPlans warns of customers whose plan the uses list does not describe.
func (a *arguments) warnAboutPlans(ctx context.Context, client *adminclient.Client, list api.ListName, after []*api.Section, errOut io.Writer) {
	other := api.ListName_LIST_USES
	if list == other {
		other = api.ListName_LIST_PLANS
	}
	fetched, err := client.List(ctx, adminapi.ListName(other))
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
		fmt.Fprintln(errOut, "warning:", warning)
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
		return a.explainFailure(err, id)
	}
	if change.State == adminapi.Unchanged {
		fmt.Fprintf(out, "The list is the one in force, offset %d: nothing to publish.\n", change.Offset)
		return nil
	}
	return Await(ctx, client, change, a.until, a.timeout, out)
}

// Values of the --until flag: the state that a command waits for.
const (
	UntilAccepted = "accepted"
	UntilInForce  = "in-force"
	UntilHelp     = "How far to follow the change: accepted (it stands) or in-force (everywhere)."
)

// CheckWaitFlags rejects values of --until and --wait that are out of range.
func CheckWaitFlags(until string, timeout time.Duration) error {
	if until != UntilAccepted && until != UntilInForce {
		return cli.UsageErrorf("-x: %q is not %s or %s.", until, UntilAccepted, UntilInForce)
	}
	if timeout < 0 || timeout > adminapi.MaxWait {
		return cli.UsageErrorf("-w: %s is not between 0s and %s.", timeout, adminapi.MaxWait)
	}
	return nil
}

// Await prints that a change is accepted and, unless until is UntilAccepted, waits until it is in
// force everywhere.
func Await(ctx context.Context, client *adminclient.Client, change *adminapi.Change, until string, timeout time.Duration, out io.Writer) error {
	fmt.Fprintf(out, "Accepted at offset %d: the change stands and will not be lost.\n", change.Offset)
	if until == UntilAccepted {
		return nil
	}
	followed, err := client.Change(ctx, change.ChangeID, adminapi.InForce, timeout)
	if err != nil {
		return explainMissing(err)
	}
	if followed.State == adminapi.InForce {
		fmt.Fprintln(out, "In force everywhere.")
	}
	return nil
}

// explainMissing names the VMs that have not applied an accepted change.
func explainMissing(err error) error {
	var failed *adminclient.ResponseError
	if !errors.As(err, &failed) || failed.Details.Change == nil {
		return err
	}
	return result.Newf(api.ResultCode_NOT_CONFIRMED,
		"The change is accepted and need not be repeated, but these have not applied it: %s. Look at status: they are cut off or on their way out.",
		failed.Details.Change.MissingSummary())
}

// explainFailure adds to an error what the operator can do next.
func (a *arguments) explainFailure(err error, id string) error {
	retryHint := fmt.Sprintf("To learn what became of it, run the same command with -i %s: it makes no second change.", id)
	e := result.FromError(err)
	switch e.Code {
	case api.ResultCode_CONFLICT:
		return explainConflict(err, a.list)
	case api.ResultCode_NOT_CONFIRMED, api.ResultCode_UNREACHABLE:
		return result.New(e.Code, e.Text, retryHint)
	}
	return withFaults(err)
}

func explainConflict(err error, list string) error {
	var failed *adminclient.ResponseError
	if errors.As(err, &failed) && failed.Details.Current != nil {
		return conflictError(list, *failed.Details.Current, failed.Details.Author, failed.Details.ChangeID)
	}
	return result.New(api.ResultCode_CONFLICT, conflictText, repeatEditHint(list))
}

const conflictText = "Another change came first, and nothing was published."

func repeatEditHint(list string) string {
	return fmt.Sprintf("Run apricothub dump %s, repeat the edit there, and publish that.", list)
}

// conflictError names the change in force that the edit was not based on.
func conflictError(list string, offset int64, author, changeID string) error {
	by := ""
	if author != "" {
		by = fmt.Sprintf(", by %s (change %s)", author, changeID)
	}
	text := fmt.Sprintf("%s In force is offset %d%s.", conflictText, offset, by)
	return result.New(api.ResultCode_CONFLICT, text, repeatEditHint(list))
}

// withFaults adds the faults that an entry found in the list.
func withFaults(err error) error {
	var failed *adminclient.ResponseError
	if !errors.As(err, &failed) || len(failed.Details.Faults) == 0 {
		return err
	}
	return result.New(failed.Result.Code, failed.Result.Text+"\n"+strings.Join(failed.Details.Faults, "\n"))
}
