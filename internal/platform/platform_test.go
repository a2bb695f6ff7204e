package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

func serve(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return New(server.URL+"/", 200*time.Millisecond)
}

// Guards against responses of the log that are misread: an expired offset, a truncated or malformed
// body, an error status.
func TestReadResponses(t *testing.T) {
	ctx := context.Background()
	for name, c := range map[string]struct {
		status int
		body   string
		check  func(batch *Batch, err error) bool
	}{
		"records": {200, `{"first":3,"next":5,"records":[{"offset":3,"data":"YQ=="}]}`, func(b *Batch, err error) bool {
			return err == nil && b.NextOffset == 5 && len(b.LogRecords()) == 1 && string(b.LogRecords()[0].GetData()) == "a"
		}},
		"expired": {410, `{"first":7,"next":9}`, func(_ *Batch, err error) bool {
			var expired *ExpiredError
			return errors.As(err, &expired) && expired.Oldest == 7 && expired.NextOffset == 9
		}},
		"broken off": {200, `{"first":3,"next":5,"rec`, func(_ *Batch, err error) bool { return err != nil }},
		"no JSON":    {410, `gone`, func(_ *Batch, err error) bool { return err != nil }},
		"down":       {503, ``, func(_ *Batch, err error) bool { return err != nil }},
	} {
		client := serve(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.String() != "/log/records?from=3&limit=10&wait_ms=20" {
				t.Errorf("asked for %s", r.URL)
			}
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		})
		if batch, err := client.Read(ctx, 3, 10, 20*time.Millisecond); !c.check(batch, err) {
			t.Errorf("%s: %v, %v", name, batch, err)
		}
	}
}

// Guards against a response that exhausts the process's memory. The error must be
// ErrResponseTooLarge, because a smaller read may succeed.
func TestResponseOverTheSizeLimit(t *testing.T) {
	client := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 101)) })
	client.maxResponseBytes = 100
	if _, err := client.ListVMs(context.Background(), nil); !errors.Is(err, ErrResponseTooLarge) {
		t.Errorf("got %v", err)
	}
}

// The platform accepts an append and closes the connection without a response. The record may be in
// the log, so a retry by the HTTP library would append it twice.
func TestAppendIsNeverRetried(t *testing.T) {
	var appends atomic.Int32
	client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = w.Write([]byte(`{"vms":[]}`))
			return
		}
		appends.Add(1)
		panic(http.ErrAbortHandler)
	})
	_, _ = client.ListVMs(context.Background(), nil) // Leaves an idle connection for reuse.
	if _, err := client.Append(context.Background(), []byte("x")); err == nil {
		t.Error("an append without an answer counts as done")
	}
	if appends.Load() != 1 {
		t.Errorf("%d appends", appends.Load())
	}
}

// Guards against a platform that accepts connections and never responds: a reader must not block
// forever.
func TestUnresponsivePlatformTimesOut(t *testing.T) {
	release := make(chan struct{})
	client := serve(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	start := time.Now()
	if _, err := client.ListVMs(context.Background(), nil); err == nil || time.Since(start) > 2*time.Second {
		t.Errorf("%v after %v", err, time.Since(start))
	}
}

// Guards against a separate stream that uses the path of the configuration's stream, which would
// confuse its offsets with those of operators' changes.
func TestStreamHasItsOwnPath(t *testing.T) {
	client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/log/streams/keys/records" {
			t.Errorf("asked for %s", r.URL)
		}
		_, _ = w.Write([]byte(`{"offset":4,"next":5}`))
	}).Stream("keys")
	if offset, err := client.Append(context.Background(), []byte("x")); err != nil || offset != 4 {
		t.Errorf("append: %d, %v", offset, err)
	}
	if batch, err := client.Read(context.Background(), 5, 1, 0); err != nil || batch.NextOffset != 5 {
		t.Errorf("read: %+v, %v", batch, err)
	}
}
