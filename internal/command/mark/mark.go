// Package mark implements the command that takes a failure domain or VM out of service, or brings
// it back.
package mark

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/adminapi"
	"github.com/apricothub/apricothub/internal/adminclient"
	"github.com/apricothub/apricothub/internal/command/cli"
	"github.com/apricothub/apricothub/internal/command/publish"
	"github.com/apricothub/apricothub/internal/result"
)

const defaultTimeout = 30 * time.Second

// The directions of a mark: out of service, or back into service.
const (
	directionOut = "out"
	directionIn  = "in"
)

type arguments struct {
	remote    cli.Remote
	target    string
	name      string
	direction string
	base      string
	author    string
	changeID  string
	timeout   time.Duration
	until     string
	force     bool
}

// Command returns the mark command.
func Command() *cli.Command {
	a := &arguments{timeout: defaultTimeout, until: publish.UntilInForce}
	sub := cli.NewSubcommand("mark", "Take a failure domain or VM out of service, or bring it back.",
		"apricothub mark domain us-south-a out\napricothub mark vm pricing-7 in")
	sub.AddPositionalValue(&a.target, "target", 1, true, "domain or vm.")
	sub.AddPositionalValue(&a.name, "name", 2, true, "Name of the failure domain or VM.")
	sub.AddPositionalValue(&a.direction, "way", 3, true, "out or in.")
	a.remote.AddFlags(sub)
	sub.String(&a.base, "b", "base", "Offset of the mark that you saw; default: whichever is current.")
	sub.String(&a.author, "u", "author", "Who marks; default: user@host.")
	sub.String(&a.changeID, "i", "change-id", "Id of a change whose outcome was not told; it is not made twice.")
	sub.Duration(&a.timeout, "w", "wait", "Time to wait for accepted, and again for in force; at most 60s.")
	sub.String(&a.until, "x", "until", publish.UntilHelp)
	sub.Bool(&a.force, "f", "force", "Mark a name that the system does not know.")
	return &cli.Command{Sub: sub, Run: a.run}
}

func (a *arguments) run(ctx context.Context, out, errOut io.Writer) error {
	if err := publish.CheckWaitFlags(a.until, a.timeout); err != nil {
		return err
	}
	request, err := a.request()
	if err != nil {
		return err
	}
	client, err := a.remote.Client()
	if err != nil {
		return err
	}
	if err := a.checkNameIsKnown(ctx, client, errOut); err != nil {
		return err
	}
	change, err := client.Mark(ctx, *request, adminapi.Accepted, a.timeout)
	if err != nil {
		return explainFailure(err, request.ChangeID)
	}
	return publish.Await(ctx, client, change, a.until, a.timeout, out)
}

func (a *arguments) request() (*adminapi.MarkRequest, error) {
	if adminapi.ParseTarget(a.target) == api.MarkTarget_TARGET_UNSPECIFIED {
		return nil, cli.UsageErrorf("%q is not domain or vm.", a.target)
	}
	if a.direction != directionOut && a.direction != directionIn {
		return nil, cli.UsageErrorf("%q is not out or in.", a.direction)
	}
	request := &adminapi.MarkRequest{
		Target: a.target, Name: a.name, Out: a.direction == directionOut,
		Author: cli.Author(a.author), ChangeID: a.changeID,
	}
	if a.base != "" {
		base, err := strconv.ParseInt(a.base, 10, 64)
		if err != nil {
			return nil, cli.UsageErrorf("%q is not an offset.", a.base)
		}
		request.Base = &base
	}
	if request.ChangeID == "" {
		request.ChangeID = cli.NewChangeID()
	}
	return request, nil
}

// checkNameIsKnown rejects a name that no member, backend server or mark has. Otherwise a misspelt
// failure domain would be marked, and the failing one would keep receiving requests.
func (a *arguments) checkNameIsKnown(ctx context.Context, client *adminclient.Client, errOut io.Writer) error {
	if a.force {
		return nil
	}
	status, err := client.Status(ctx)
	if err != nil {
		fmt.Fprintln(errOut, "The name could not be checked:", err)
		return nil
	}
	known := knownNames(status, a.target)
	if slices.Contains(known, a.name) {
		return nil
	}
	return cli.UsageErrorf("No %s is called %q. Known are: %s. Give --force to mark it all the same.",
		a.target, a.name, strings.Join(known, ", "))
}

// knownNames returns the names of the target kind that the process knows.
func knownNames(status *adminapi.Status, target string) []string {
	var names []string
	add := func(vm, domain string) {
		name := vm
		if target == adminapi.TargetDomain {
			name = domain
		}
		names = append(names, name)
	}
	add(status.Process.VM, status.Process.FailureDomain)
	for _, m := range status.Members {
		add(m.VM, m.FailureDomain)
	}
	for _, b := range status.Backends {
		add(b.VM, b.FailureDomain)
	}
	for _, m := range status.Marks {
		if m.Target == target {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func explainFailure(err error, id string) error {
	e := result.FromError(err)
	switch e.Code {
	case api.ResultCode_CONFLICT:
		return result.New(e.Code, "Another mark of this name came first, and nothing was marked. Look at status, then mark again.")
	case api.ResultCode_NOT_CONFIRMED, api.ResultCode_UNREACHABLE:
		return result.New(e.Code, e.Text, fmt.Sprintf("To learn what became of it, run the same command with -i %s: it makes no second change.", id))
	}
	return err
}
