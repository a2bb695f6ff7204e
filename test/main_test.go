// Package test holds the failure tests. They run separate processes over real sockets and inject
// faults while callers send requests. The head of each test names the failure that it guards
// against.
package test

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/harness"
)

// parallelTests is the number of tests that run at once. Each test starts about ten processes.
const parallelTests = "4"

// binDirEnv is the environment variable that names a directory of prebuilt binaries. Without it the
// tests build their own.
const binDirEnv = "APRICOTHUB_TEST_BIN"

var binDir string

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", parallelTests); err != nil {
		panic(err)
	}
	if binDir = os.Getenv(binDirEnv); binDir != "" {
		os.Exit(m.Run())
	}
	dir, err := os.MkdirTemp("", "apricothub-bin-")
	if err == nil {
		err = harness.Build("..", dir)
	}
	if err != nil {
		panic(err)
	}
	binDir = dir
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// skipIfShort skips a test in the short suite, which CI runs on each change. The short suite keeps
// a few tests of every guarantee; with all of them CI would take so long that it would run less
// often.
func skipIfShort(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("long: make failure-all")
	}
}

// domains are the failure domains of all tests.
var domains = []string{"a", "b", "c"}

// startCluster starts a cluster that is stopped when the test ends. If the test has failed, the
// ends of all logs are printed.
func startCluster(t *testing.T, spec harness.Spec) *harness.Cluster {
	t.Helper()
	spec.Bin = binDir
	spec.Domains = domains
	spec.Dir = harness.NewDir(t, strings.ReplaceAll(t.Name(), "/", "-"))
	c := harness.StartCluster(t, spec)
	t.Cleanup(func() {
		if t.Failed() {
			c.DumpLogs()
		}
	})
	return c
}

// publicAddresses returns the addresses at which all entries serve callers.
func publicAddresses(c *harness.Cluster) []string {
	var addresses []string
	for _, m := range c.Entries {
		addresses = append(addresses, m.Public)
	}
	return addresses
}

// warmUp sends requests until no engine is cold.
func warmUp(t *testing.T, c *harness.Cluster) {
	t.Helper()
	load := c.StartLoad(harness.LoadSpec{Callers: 2 * len(c.EngineAgents()), Tokens: 4, Seed: 99})
	for _, m := range c.EngineAgents() {
		harness.Eventually(t, 20*time.Second, m.VM+" is warm", func() error {
			if m.Backend.Record().Cold {
				return errCold
			}
			return nil
		})
	}
	if r := load.Stop(); len(r.Cut)+len(r.Failed) > 0 {
		t.Fatalf("while warming up: cut %q, failed %q", r.Cut, r.Failed)
	}
}
