package test

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/test/fakeplatform"
	"github.com/apricothub/apricothub/test/harness"
)

// A signal reaches a process that still reads its settings, as one that has just been started anew. SIGHUP
// must not end it, and SIGTERM must end it with status 0, as at any other moment.
func TestSignalsWhileAProcessStarts(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		signal syscall.Signal
		ends   bool
	}{
		{"told of changed settings", syscall.SIGHUP, false},
		{"stopped by plan", syscall.SIGTERM, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			store := fakeplatform.NewStore(t)
			engine := fakeplatform.NewLoopbackIP() + ":9000"
			env := fakeplatform.RankAgent{VM: "side-1", FailureDomain: "a", Engine: engine, Store: store.Address()}.WriteSettings(t, dir)
			file := strings.TrimPrefix(env, "APRICOTHUB_CONFIG=")
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			// The process waits in the middle of its start until the settings are written to the pipe. It
			// finds the file when it reads them again.
			pipe, path := filepath.Join(dir, "pipe"), filepath.Join(dir, "settings")
			if err := errors.Join(syscall.Mkfifo(pipe, 0o600), os.Symlink(pipe, path)); err != nil {
				t.Fatal(err)
			}
			p := harness.StartWithEnv(t, []string{"APRICOTHUB_CONFIG=" + path}, dir, "side-1", binDir+"/apricothub", "rank-agent")
			time.Sleep(time.Second)
			p.Signal(c.signal)
			time.Sleep(200 * time.Millisecond)
			if isClosed(p.Ended()) {
				t.Fatal("the signal ended the process")
			}
			err = errors.Join(os.Remove(path), os.Symlink(file, path), os.WriteFile(pipe, text, 0o600))
			if err != nil {
				t.Fatal(err)
			}
			if c.ends {
				select {
				case <-p.Ended():
				case <-time.After(10 * time.Second):
					t.Fatal("the process has not ended")
				}
				return
			}
			time.Sleep(500 * time.Millisecond)
			if status := p.Terminate(); status != 0 {
				t.Errorf("a graceful shutdown ended with status %d: %s", status, p.Tail())
			}
		})
	}
}
