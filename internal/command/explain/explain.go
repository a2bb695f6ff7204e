// Package explain implements the command that shows the log lines of one request.
package explain

import (
	"context"
	"io"
	"os"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/command/cli"
	"github.com/apricothub/apricothub/internal/explain"
)

type arguments struct {
	request string
	files   []string
}

// Command returns the explain command, which reads logs from in when no file is named.
func Command(in io.Reader) *cli.Command {
	a := &arguments{}
	sub := cli.NewSubcommand("explain", "Show what logs say of one request, and what its processes believed.",
		"cat logs/*.log | apricothub explain e4b683f4fe53cf3b\napricothub explain e4b683f4fe53cf3b -f front-1.log -f front-2.log")
	sub.AddPositionalValue(&a.request, "id", 1, true, "Id of the request, as the caller gave it or got it back.")
	sub.StringSlice(&a.files, "f", "file", "File with the log of one process or more; default: standard input.")
	return &cli.Command{Sub: sub, Run: func(_ context.Context, out, _ io.Writer) error { return a.run(in, out) }}
}

func (a *arguments) run(in io.Reader, out io.Writer) error {
	if a.request == "" {
		return cli.UsageErrorf("Name the id of a request.")
	}
	r := explain.NewReader(a.request)
	if len(a.files) == 0 {
		if err := r.Read(in); err != nil {
			return err
		}
	}
	for _, path := range a.files {
		if err := readFile(r, path); err != nil {
			return err
		}
	}
	story := r.Timeline()
	if len(story.Lines) == 0 {
		return requestNotFound(story)
	}
	return explain.Render(out, story)
}

func readFile(r *explain.Reader, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return cli.UsageErrorf("%v.", err)
	}
	defer func() { _ = file.Close() }()
	if err := r.Read(file); err != nil {
		return errors.Wrap(err, path)
	}
	return nil
}

// requestNotFound returns an error that says why a request may be missing from the logs.
func requestNotFound(s *explain.Timeline) error {
	return errors.Errorf("no log line names request %s (lines read: %d, unreadable: %d, reported as dropped: %d); "+
		"successful requests are logged only as a sample",
		s.Request, s.Parsed, s.Unparsable, s.Dropped)
}
