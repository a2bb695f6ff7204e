package harness

import (
	"os/exec"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/standin/platform"
)

// MarkOut marks a failure domain as out and returns once the first entry has applied the mark. The
// operator command continues in the background, since it waits for every process; its exit status
// is sent on the channel.
func (c *Cluster) MarkOut(domain string) (time.Time, <-chan int) {
	c.report.Helper()
	exitStatus := make(chan int, 1)
	go func() {
		_, status := c.Operate("mark", "domain", domain, "out", "-w", "8s")
		exitStatus <- status
	}()
	Eventually(c.report, readyTimeout, "the mark is applied", func() error {
		status, err := c.Entries[0].Status()
		if err != nil {
			return err
		}
		for _, mark := range status.Marks {
			if mark.Name == domain && mark.Out {
				return nil
			}
		}
		return errors.New("the first entry has no such mark")
	})
	return time.Now(), exitStatus
}

// MarkLeaving sets the state of a VM in the list of VMs to leaving.
func (c *Cluster) MarkLeaving(m *Member) {
	vm := platform.VM{ID: m.VM, Role: "backend", FailureDomain: m.Domain, Link: m.Link, Public: m.Public, State: "leaving", Offer: m.Offer}
	if m.Public != "" {
		vm.Role = "entry"
	}
	c.Platform.PutVM(vm)
}

// Operate runs an operator command against the first entry and returns its output and exit status,
// or -1 if it did not run.
func (c *Cluster) Operate(args ...string) (string, int) {
	return c.OperateAt(c.Entries[0], args...)
}

// OperateAt is Operate against a given member.
func (c *Cluster) OperateAt(m *Member, args ...string) (string, int) {
	commandArgs := append([]string{args[0], "-a", m.Admin, "-t", AdminToken}, args[1:]...)
	out, err := exec.Command(c.Bin+"/apricothub", commandArgs...).CombinedOutput()
	var exit *exec.ExitError
	switch {
	case err == nil:
		return string(out), 0
	case errors.As(err, &exit):
		return string(out), exit.ExitCode()
	}
	return err.Error(), -1
}

// MustOperate is Operate, but fails the test unless the exit status is 0.
func (c *Cluster) MustOperate(args ...string) string {
	c.report.Helper()
	out, status := c.Operate(args...)
	if status != 0 {
		c.report.Fatalf("apricothub %s: exit status %d: %s", strings.Join(args, " "), status, out)
	}
	return out
}
