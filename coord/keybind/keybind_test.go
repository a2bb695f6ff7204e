package keybind

import (
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
)

func ticketOf(seq uint32) *api.Ticket {
	return &api.Ticket{
		AgentVm: "bookings-1", Incarnation: "0123456789abcdef", Block: 12, Seq: seq,
		ExpiryMs: 1, Customer: make([]byte, 8), Mac: make([]byte, 16),
	}
}

func recordOf(t testing.TB, base, released int64, key Key, seq uint32) []byte {
	t.Helper()
	data, err := EncodeRecord([]*api.KeyBinding{{Key: key[:], Request: make([]byte, digestSize), Ticket: ticketOf(seq)}}, base, released, 1)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// apply applies records from the fold's next offset on.
func apply(t testing.TB, f *Fold, records ...[]byte) {
	t.Helper()
	for _, data := range records {
		if _, err := f.Apply(f.Next(), data); err != nil {
			t.Fatal(err)
		}
	}
}

// An entry starts after records have expired. The remaining records hold two bindings of a key
// whose bases lie among the expired ones, so the entry cannot know which one was the first. The
// key must stay unconfirmed until a binding arrives whose appender had read both.
func TestUnconfirmedUntilABaseIsKnown(t *testing.T) {
	f, key := NewFold(), Key{1}
	f.Restart(10)
	apply(t, f, recordOf(t, 9, -1, key, 1), recordOf(t, 10, -1, key, 2))
	if b, ok := f.Lookup(key); !ok || !b.Unconfirmed || b.Offset != 11 {
		t.Errorf("after two bindings: %+v, %v", b, ok)
	}
	apply(t, f, recordOf(t, 12, -1, key, 3))
	b, _ := f.Lookup(key)
	if got, err := b.DecodeTicket(); err != nil || b.Unconfirmed || got.GetSeq() != 3 {
		t.Errorf("after a confirmed one: %+v, %v", b, err)
	}
	// Releasing the key's older bindings must not release this one.
	apply(t, f, recordOf(t, 13, 11, Key{2}, 4))
	if _, ok := f.Lookup(key); !ok {
		t.Error("the newer binding was released with the older ones")
	}
	apply(t, f, recordOf(t, 14, 12, Key{3}, 5))
	if _, ok := f.Lookup(key); ok {
		t.Error("the binding was not released")
	}
}

// An append is delayed until an earlier binding of its key, which its entry had not read, was
// released. The append must not bind the key: its ticket may still be valid, and the key has
// already run under the earlier one.
func TestDelayedAppendDoesNotBindAfterRelease(t *testing.T) {
	f, key := NewFold(), Key{1}
	apply(t, f, recordOf(t, 0, -1, key, 1), recordOf(t, 1, 0, Key{2}, 2), recordOf(t, 0, -1, key, 3))
	if b, ok := f.Lookup(key); ok {
		t.Errorf("bound: %+v", b)
	}
	apply(t, f, recordOf(t, 3, 0, key, 4))
	if _, ok := f.Lookup(key); !ok {
		t.Error("an entry that had read the whole stream cannot bind the key")
	}
}

// A record that a newer version or a fault put into the stream must not stop the reader, or no
// key could be bound any more.
func TestInvalidRecordsAreIgnored(t *testing.T) {
	f := NewFold()
	apply(t, f, []byte("\xff\xff"), recordOf(t, 1, 1<<60, Key{1}, 1))
	short, _ := EncodeRecord([]*api.KeyBinding{{Key: []byte("short")}}, 2, 1<<60, 1)
	apply(t, f, short)
	if f.Held() != 0 || f.Released() != 1 || f.Next() != 3 {
		t.Errorf("%d held, released %d, next %d", f.Held(), f.Released(), f.Next())
	}
	if _, err := f.Apply(5, nil); !errors.Is(err, ErrGap) {
		t.Errorf("a gap: %v", err)
	}
}

// Records that arrive in quick succession share a checkpoint. This may underestimate the age of
// a record, but must never overestimate it, or its bindings would be released too early.
func TestAgesAreNeverOverestimated(t *testing.T) {
	const lifetime = 320 * time.Second
	a := NewAgeTracker(lifetime)
	seen := map[int64]time.Duration{}
	for n := range int64(2000) {
		now := time.Duration(n) * time.Second
		a.Observe(now, n)
		seen[n] = now
		if r := a.ExpiredThrough(now); r >= 0 && now-seen[r] < lifetime {
			t.Fatalf("record %d is released after %v", r, now-seen[r])
		}
		if len(a.checkpoints) > checkpointsPerLifetime+2 {
			t.Fatalf("%d checkpoints", len(a.checkpoints))
		}
	}
	if r := a.ExpiredThrough(2000 * time.Second); r < 1600 {
		t.Errorf("released up to %d only", r)
	}
}

// A burst of keys is appended in few records with an interval between them. Keys beyond the
// limit of the queue are refused, and a pending key is not queued twice.
func TestBatcherLimitsRecordsAndQueue(t *testing.T) {
	const interval = 10 * time.Millisecond
	b := NewBatcher(maxBatchBindings+10, time.Minute)
	for i := range maxBatchBindings + 10 {
		if err := b.Add(0, 0, Key{byte(i), byte(i >> 8)}, Request{}, ticketOf(1)); err != nil {
			t.Fatal(err)
		}
	}
	if err := b.Add(0, 0, Key{9, 9, 9}, Request{}, ticketOf(1)); !errors.Is(err, ErrFull) {
		t.Errorf("over the limit: %v", err)
	}
	if err := b.Add(0, 0, Key{1}, Request{}, ticketOf(1)); err != nil || b.Queued() != maxBatchBindings+10 {
		t.Errorf("a key that is pending: %v, %d queued", err, b.Queued())
	}
	batch, _, ok := b.BeginAppend(time.Second, interval, false)
	if !ok || len(batch) != maxBatchBindings {
		t.Fatalf("%d in the first record", len(batch))
	}
	if _, _, ok := b.BeginAppend(time.Hour, interval, true); ok {
		t.Error("two appends at once")
	}
	b.EndAppend()
	if _, wait, ok := b.BeginAppend(time.Second+interval/2, interval, false); ok || wait != interval/2 {
		t.Errorf("too soon: %v, %v", wait, ok)
	}
	if batch, _, ok := b.BeginAppend(time.Second+interval, interval, false); !ok || len(batch) != 10 {
		t.Errorf("%d in the second record", len(batch))
	}
	if keys := b.EndAppend(); len(keys) != 10 || b.IsPending(keys[0]) {
		t.Errorf("done: %d keys", len(keys))
	}
	if batch, _, ok := b.BeginAppend(time.Hour, interval, true); !ok || len(batch) != 0 {
		t.Errorf("a record without bindings: %d, %v", len(batch), ok)
	}
}

// A fold advances by one offset per record, whatever the record contains.
func FuzzApply(f *testing.F) {
	f.Add(recordOf(f, 0, -1, Key{1}, 1), recordOf(f, 1, 0, Key{1}, 2))
	f.Add([]byte("\xff"), []byte{})
	f.Fuzz(func(t *testing.T, a, b []byte) {
		fold := NewFold()
		apply(t, fold, a, b)
		if fold.Next() != 2 || fold.Held() > len(fold.bindOrder) {
			t.Errorf("next offset %d, %d held, %d in the order of binding", fold.Next(), fold.Held(), len(fold.bindOrder))
		}
	})
}

// Keys are printable ASCII of up to 255 bytes, and equal keys of two customers differ.
func TestIsValidKey(t *testing.T) {
	for text, want := range map[string]bool{
		"": false, "order 17": true, strings.Repeat("k", 255): true, strings.Repeat("k", 256): false,
		"k\x7f": false, "k\n": false, "k\xc3\xa9": false, `"quoted"`: true,
	} {
		if IsValidKey(text) != want {
			t.Errorf("%q: %v", text, !want)
		}
	}
	if KeyOf("ab", "c") == KeyOf("a", "bc") {
		t.Error("the keys of two customers have the same digest")
	}
}

// BenchmarkBinding applies one record with one binding. B/held is the memory of a binding.
func BenchmarkBinding(b *testing.B) {
	records := make([][]byte, b.N)
	for i := range records {
		records[i] = recordOf(b, int64(i), -1, KeyOf("c", strconv.Itoa(i)), uint32(i))
	}
	f := NewFold()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	apply(b, f, records...)
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(b.N), "B/held")
	b.ReportMetric(float64(len(records[0])), "B/record")
	runtime.KeepAlive(f)
	runtime.KeepAlive(records)
}
