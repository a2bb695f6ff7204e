// Package check implements the command that checks settings and lists without a running system.
package check

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/command/cli"
	"github.com/apricothub/apricothub/internal/settings"
)

type arguments struct {
	entries []string
	agents  []string
	plans   string
	uses    string
	hashKey bool
}

// Command returns the check command.
func Command() *cli.Command {
	a := &arguments{}
	sub := cli.NewSubcommand("check", "Check settings and lists; nothing is sent anywhere.",
		"apricothub check --entry entry.ini --plans plans.ini --uses uses.ini\n"+
			"printf %s \"$KEY\" | apricothub check --hash-key")
	sub.StringSlice(&a.entries, "e", "entry", "Settings of an entry; may be given more than once.")
	sub.StringSlice(&a.agents, "g", "agent", "Settings of an agent; may be given more than once.")
	sub.String(&a.plans, "p", "plans", "The list of customers and their plans.")
	sub.String(&a.uses, "u", "uses", "The list of what each plan may use.")
	sub.Bool(&a.hashKey, "k", "hash-key", "Read a customer's key from standard input and print the hash for the list.")
	return &cli.Command{Sub: sub, Run: func(_ context.Context, out, errOut io.Writer) error {
		if a.hashKey {
			return printKeyHash(os.Stdin, out)
		}
		return a.check(out, errOut)
	}}
}

func (a *arguments) check(out, errOut io.Writer) error {
	var faults settings.Faults
	checked := 0
	collectFaults := func(path string, err error) error {
		var found settings.Faults
		if err != nil && !errors.As(err, &found) {
			return err
		}
		checked++
		faults = append(faults, found...)
		if err == nil {
			fmt.Fprintf(out, "%s: good\n", path)
		}
		return nil
	}
	for _, path := range a.entries {
		_, err := settings.LoadEntry(path)
		if err := collectFaults(path, err); err != nil {
			return err
		}
	}
	for _, path := range a.agents {
		_, err := settings.LoadAgent(path)
		if err := collectFaults(path, err); err != nil {
			return err
		}
	}
	plans, err := loadList(api.ListName_LIST_PLANS, a.plans)
	if a.plans != "" {
		if err := collectFaults(a.plans, err); err != nil {
			return err
		}
	}
	uses, err := loadList(api.ListName_LIST_USES, a.uses)
	if a.uses != "" {
		if err := collectFaults(a.uses, err); err != nil {
			return err
		}
	}
	if checked == 0 {
		return cli.UsageErrorf("Name a file to check: --entry, --agent, --plans or --uses.")
	}
	if len(faults) > 0 {
		return faults
	}
	if a.plans != "" && a.uses != "" {
		for _, warning := range settings.CheckAcrossLists(plans, uses) {
			fmt.Fprintln(errOut, "warning:", warning)
		}
	}
	return nil
}

func loadList(list api.ListName, path string) ([]*api.Section, error) {
	if path == "" {
		return nil, nil
	}
	text, err := settings.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return settings.Parse(list, path, text)
}

// maxKeyBytes limits the length of a customer's key.
const maxKeyBytes = 4096

func printKeyHash(in io.Reader, out io.Writer) error {
	line, err := bufio.NewReader(io.LimitReader(in, maxKeyBytes+1)).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return errors.Wrap(err, "read the customer's key")
	}
	key := strings.TrimRight(line, "\r\n")
	if key == "" || len(key) > maxKeyBytes {
		return cli.UsageErrorf("Give one key, of at most %d bytes, on standard input.", maxKeyBytes)
	}
	hash := sha256.Sum256([]byte(key))
	_, err = fmt.Fprintln(out, hex.EncodeToString(hash[:]))
	return err
}
