package test

import (
	"testing"
	"time"
)

const (
	// slowPace is the pace of a slow engine; with it, passes last 240 ms.
	slowPace = 12
	// slowEnginePause is the longest pause that routes to engines accept where engines turn slow.
	slowEnginePause = 100 * time.Millisecond
)

// An engine of a lock-step group turns slow with streams running. All ranks wait for it in every pass,
// so its streams must move to other engines, with no event lost or twice, and the pauses of all callers
// must be short again while it is still slow.
func TestStreamsLeaveASlowEngine(t *testing.T) {
	t.Parallel()
	const (
		longWait = 200 * time.Millisecond
		// maxDelay is the time until streams have left, countTime how long waits are counted after that:
		// a stream that stays at the slow engine lasts longer than both together.
		maxDelay, countTime = 1500 * time.Millisecond, 2500 * time.Millisecond
	)
	m := startGroupSite(t, 2, 1)
	reader, stop := m.startStreams(slowEnginePause)
	m.group.SetPace(1, slowPace)
	time.Sleep(maxDelay)
	reader.countWaits(longWait)
	time.Sleep(countTime)
	reader.mu.Lock()
	waits, longWaits := reader.waits, reader.longWaits
	reader.mu.Unlock()
	m.group.SetPace(1, 1)
	stop()
	t.Logf("%d of %d waits for an event were longer than %v; %d streams were read whole", longWaits, waits, longWait, reader.served)
	if limit := waits / 20; longWaits > limit {
		t.Errorf("%d of %d waits for an event were longer than %v while one engine was slow", longWaits, waits, longWait)
	}
	if waits < 500 || reader.served < 50 {
		t.Error("too few events: the test proves nothing")
	}
}
