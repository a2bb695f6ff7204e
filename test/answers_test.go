package test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/harness"
)

// maxStreamPause limits how long a stream may pause when its link goes silent: the link is detected
// as dead after 1.5 s and another one takes over.
const maxStreamPause = 4 * time.Second

// The link that carries a stream stops delivering anything, while new links work, because a device
// between the two ends has lost the connection's state. The caller must see a pause of a second or
// two and then the rest, byte for byte.
func TestStreamOverSilentLink(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 1, Engines: 1})
	p := harness.Prompt{Text: "silent", Seed: 1, Tokens: 150}
	caller := harness.NewCaller(harness.Key)
	var got harness.Streamed
	last, longestPause := time.Now(), time.Duration(0)
	err := caller.Stream(t.Context(), c.Entries[0].Public, p, &got, func() {
		longestPause = max(longestPause, time.Since(last))
		last = time.Now()
		if got.Events == 20 || got.Events == 80 {
			c.Entries[0].View.Link(c.Agents[0].VM).Silence()
		}
	})
	if err != nil || !got.Whole || got.Text != p.Want() {
		t.Fatalf("whole %v, %d of %d bytes, refused %+v, %v", got.Whole, len(got.Text), len(p.Want()), got.Refused, err)
	}
	if longestPause > maxStreamPause {
		t.Errorf("the stream paused for %s, want at most %s", longestPause, maxStreamPause)
	}
	t.Logf("longest pause %s", longestPause.Round(time.Millisecond))
}

// An entry is killed in the middle of a stream and the caller's connection breaks. The caller
// resumes through another entry with Last-Event-ID and must get the rest, byte for byte, without
// the engine running the request twice.
func TestStreamResumesThroughAnotherEntry(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 3, Engines: 1})
	p := harness.Prompt{Text: "killed", Seed: 2, Tokens: 150}
	caller := harness.NewCaller(harness.Key)
	kills := 0
	var got harness.Streamed
	onEvent := func() {
		if got.Events == 30 || got.Events == 90 {
			c.Entries[kills].Kill()
			kills++
		}
	}
	addresses := publicAddresses(c)
	for i := range addresses {
		err := caller.Stream(t.Context(), addresses[i], p, &got, onEvent)
		if got.Whole {
			break
		}
		if err == nil {
			t.Fatalf("entry %d: %+v", i+1, got.Refused)
		}
	}
	if !got.Whole || got.Text != p.Want() {
		t.Fatalf("whole %v, %d of %d bytes, refused %+v", got.Whole, len(got.Text), len(p.Want()), got.Refused)
	}
	if arrivals := len(c.Agents[0].Backend.Record().Arrivals); arrivals != 1 {
		t.Errorf("the engine got %d requests, want one", arrivals)
	}
}

// The engine's connection breaks, or its agent is killed, in the middle of an answer. The caller
// must get the whole text or an explicit error: a truncated answer must never look complete.
func TestBrokenAnswerIsAnError(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 2, Engines: 1})
	caller := harness.NewCaller(harness.Key)
	p := harness.Prompt{Text: "broken", Seed: 3, Tokens: 60}
	faults := map[string]func(){
		"engine connection cut": c.Agents[0].BackendLink.Cut,
		"agent killed": func() {
			c.Agents[0].Kill()
			c.Agents[0].Restart()
		},
	}
	for name, fault := range faults {
		c.WaitReady(c.Agents[0])
		waitForCompletions(t, c, caller)
		var got harness.Streamed
		err := caller.Stream(t.Context(), c.Entries[0].Public, p, &got, func() {
			if got.Events == 20 {
				fault()
			}
		})
		if got.Whole && got.Text != p.Want() {
			t.Errorf("%s: a stream of %d bytes ended as complete, want %d bytes", name, len(got.Text), len(p.Want()))
		}
		if !got.Whole && err == nil && got.Refused == nil {
			t.Errorf("%s: the stream ended without an end marker and without an error", name)
		}

		c.WaitReady(c.Agents[0])
		waitForCompletions(t, c, caller)
		timer := time.AfterFunc(150*time.Millisecond, fault)
		text, reply, err := caller.Complete(t.Context(), c.Entries[1].Public, p)
		timer.Stop()
		if err == nil && reply.Status == 200 && text != p.Want() {
			t.Errorf("%s: an answer of %d bytes with status 200, want %d bytes or an error", name, len(text), len(p.Want()))
		}
	}
}

// waitForCompletions waits until a short completion works through every entry.
func waitForCompletions(t *testing.T, c *harness.Cluster, caller *harness.Caller) {
	t.Helper()
	p := harness.Prompt{Text: "probe", Seed: 1, Tokens: 1}
	for _, m := range c.Entries {
		harness.Eventually(t, 10*time.Second, "completions work", func() error {
			text, reply, err := caller.Complete(t.Context(), m.Public, p)
			if err == nil && text != p.Want() {
				err = fmt.Errorf("%d %s %s", reply.Code, reply.Name, reply.Message)
			}
			return err
		})
	}
}

// Many answers are in flight while their links are slow, cut and silent, so that parts of earlier
// attempts arrive late and interleaved. Each caller must get the answer to its own request.
func TestAnswersDoNotCross(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 2, Engines: 2, EngineFlags: []string{"-token", "10ms"}})
	warmUp(t, c)
	const callers = 24
	var wg sync.WaitGroup
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	problems := make(chan string, callers)
	for i := range callers {
		wg.Go(func() {
			p := harness.Prompt{Text: fmt.Sprintf("prompt %d", i), Seed: int64(i), Tokens: 200}
			got, err := harness.NewCaller(harness.Key).StreamWithRetry(ctx, []string{publicAddresses(c)[i%2], publicAddresses(c)[(i+1)%2]}, p, nil)
			if !got.Whole || got.Text != p.Want() {
				problems <- fmt.Sprintf("caller %d: whole %v, %d of %d bytes, refused %+v, %v",
					i, got.Whole, len(got.Text), len(p.Want()), got.Refused, err)
			}
		})
	}
	for round := range 4 {
		time.Sleep(400 * time.Millisecond)
		for _, m := range c.Entries {
			for _, link := range m.View.Links() {
				link.Delay(time.Duration(round) * 5 * time.Millisecond)
				if round%2 == 0 {
					link.Cut()
				} else {
					link.Silence()
				}
			}
		}
	}
	wg.Wait()
	close(problems)
	for problem := range problems {
		t.Error(problem)
	}
}
