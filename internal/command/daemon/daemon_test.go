package daemon

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/settings"
)

const entrySettings = `[self]
vm = entry-1
failure-domain = a
[listen]
public = 127.0.0.1:8080
link = 127.0.0.1:8081
admin = 127.0.0.1:8082
admin-token = 0123456789abcdef
[platform]
url = http://127.0.0.1:9000
[link]
key = 0123456789abcdef
[log]
level = info
`

// writeSettings writes the settings file with the text old replaced.
func writeSettings(t *testing.T, path, old, replacement string) {
	t.Helper()
	text := strings.Replace(entrySettings, old, replacement, 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// newTestReloader returns a reloader for a process that was started with the unchanged settings
// file.
func newTestReloader(t *testing.T, path string, out *bytes.Buffer, applied *[]string) *reloader[*api.EntrySettings] {
	t.Helper()
	writeSettings(t, path, "", "")
	running, err := settings.LoadEntry(path)
	if err != nil {
		t.Fatal(err)
	}
	return newReloader(
		func() (*api.EntrySettings, error) { return settings.LoadEntry(path) },
		func(s *api.EntrySettings) error { *applied = append(*applied, s.GetLog().GetLevel()); return nil },
		log.NewLogfmtLogger(out), running,
	)
}

// The settings of a running process are edited. The log level must change at once, a key that
// cannot change must be named in the log, and an invalid file must change nothing.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.ini")
	var out bytes.Buffer
	var applied []string
	r := newTestReloader(t, path, &out, &applied)
	writeSettings(t, path, "level = info", "level = warn\n[limits]\nbody-bytes = 2048")
	r.reload()
	writeSettings(t, path, "level = info", "level = loud")
	r.reload()
	if strings.Join(applied, " ") != "warn" || r.current.GetLog().GetLevel() != "warn" {
		t.Errorf("applied %v", applied)
	}
	for _, want := range []string{
		`msg="A setting has changed." section=log key=level`,
		`msg="A changed setting needs a restart." section=limits key=body-bytes`,
		`msg="The settings file has faults. Nothing was changed." result="504 BAD_SETTINGS"`,
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("want %s in:\n%s", want, &out)
		}
	}
}

// A key that needs a restart is changed, the file is reloaded twice, and the change is reverted.
// Each reload must compare with the settings in use: the key is reported until the change is
// reverted, and reverting it needs no restart.
func TestReloadComparesWithWhatRuns(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.ini")
	var out bytes.Buffer
	var applied []string
	r := newTestReloader(t, path, &out, &applied)
	const pending = "A changed setting needs a restart."
	for i, step := range []struct {
		vm    string
		lines int
	}{{"entry-9", 1}, {"entry-9", 1}, {"entry-1", 0}} {
		out.Reset()
		writeSettings(t, path, "vm = entry-1", "vm = "+step.vm)
		r.reload()
		if strings.Count(out.String(), pending) != step.lines {
			t.Errorf("step %d, vm = %s:\n%s", i, step.vm, &out)
		}
	}
}
