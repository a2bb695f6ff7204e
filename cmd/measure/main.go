// Command measure writes the tables of docs/MEASURES.md and docs/CAPACITY.md. It is never shipped.
package main

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"
)

// measures are the subcommands. Each returns the text of one section.
var measures = []measure{
	{name: "domains", help: "Service while a failure domain leaves and returns", run: measureDomains},
	{name: "domains-plot", help: "The same as an SVG", run: plotDomains, isWholeFile: true},
	{name: "load", help: "Outcomes for callers in bursts, skew, saturation and faults", run: measureLoad},
	{name: "skew", help: "Step-time skew and the cost of rebalancing", run: measureSkew},
	{name: "decisions", help: "Time and allocations of each decision", run: measureDecisions},
	{name: "slopes", help: "What one more of each costs, for docs/CAPACITY.md", run: measureSlopes},
	{name: "subsets", help: "Links, bytes and answers with subsets of links, for docs/design/subsetting.md", run: measureSubsets},
	{name: "logs", help: "What the log of a gateway costs its callers", run: measureLogs},
	{name: "overhead", help: "What the way through entry and agent costs", run: measureOverhead},
}

// measure is a subcommand.
type measure struct {
	name, help string
	run        func() string
	// isWholeFile is set if the text is a whole file and not a section of one.
	isWholeFile bool
}

func main() {
	flaggy.SetName("measure")
	flaggy.SetDescription("Makes the tables of docs/MEASURES.md.")
	var into string
	flaggy.String(&into, "i", "into", "File whose section for the measure is replaced; standard output without it.")
	commands := make([]*flaggy.Subcommand, len(measures))
	for i, m := range measures {
		commands[i] = flaggy.NewSubcommand(m.name)
		commands[i].Description = m.help
		flaggy.AttachSubcommand(commands[i], 1)
	}
	flaggy.Parse()
	for i, m := range measures {
		if !commands[i].Used {
			continue
		}
		if err := m.write(m.run(), into); err != nil {
			fmt.Fprintln(os.Stderr, "measure:", err)
			os.Exit(1)
		}
		return
	}
	flaggy.ShowHelpAndExit("Name a measure.")
}

func (m measure) write(text, into string) error {
	if into == "" {
		fmt.Print(text)
		return nil
	}
	if !m.isWholeFile {
		page, err := os.ReadFile(into)
		if err != nil {
			return errors.Wrap(err, "read page")
		}
		if text, err = replaceSection(string(page), m.name, text); err != nil {
			return err
		}
	}
	if err := os.WriteFile(into, []byte(text), 0o644); err != nil {
		return errors.Wrap(err, "write page")
	}
	return nil
}
