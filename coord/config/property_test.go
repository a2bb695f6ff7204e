package config

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/apricothub/apricothub/api"
)

// drawRecord draws a record of racing operators, from few names, few ids, and bases that are mostly
// current, sometimes old and sometimes invalid.
func drawRecord(t *rapid.T, f *Fold) *api.Record {
	view := f.View()
	id := fmt.Sprint("c", rapid.IntRange(0, 15).Draw(t, "id"))
	base := func(current int64) int64 {
		return current - int64(rapid.SampledFrom([]int{0, 0, 0, 1, 3}).Draw(t, "behind"))
	}
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
	switch rapid.IntRange(0, 5).Draw(t, "what") {
	case 0:
		current := view.MarkOffset(onVM, name)
		return markRecord(id, onVM, name, rapid.Bool().Draw(t, "out"), base(current))
	case 1:
		return &api.Record{ChangeId: id, Body: &api.Record_Snapshot{Snapshot: f.Snapshot()}}
	case 2:
		rec := listRecord(id, plansList, base(view.ListOffset(plansList)))
		rec.GetList().Removed = []string{"customer " + name}
		return rec
	case 3:
		return listRecord(id, usesList, base(view.ListOffset(usesList)), plan(name, 1))
	}
	key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
	return listRecord(id, plansList, base(view.ListOffset(plansList)), customer(name, key, name))
}

// baseOf returns the list or mark that a record changes, with the base of the change.
func baseOf(rec *api.Record) string {
	if mark := rec.GetMark(); mark != nil {
		return fmt.Sprint(mark.GetTarget(), mark.GetName(), mark.GetBase())
	}
	return fmt.Sprint(rec.GetList().GetList(), rec.GetList().GetBase())
}

// Of all changes with the same base at most one may be accepted, and CheckChange must predict the
// decision of the fold.
func TestPropertyOneWinnerForEachBase(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := NewFold()
		winners := make(map[string]int64)
		for range rapid.IntRange(1, 60).Draw(rt, "records") {
			rec := drawRecord(rt, f)
			offset := f.Applied() + 1
			_, known := f.Verdict(rec.GetChangeId())
			checked := CheckChange(f.View(), rec)
			if err := f.Apply(offset, marshal(t, rec)); err != nil {
				rt.Fatal(err)
			}
			verdict, _ := f.Verdict(rec.GetChangeId())
			if rec.GetSnapshot() != nil || known {
				continue
			}
			if verdict.GetAccepted() != (checked == nil) || verdict.GetOffset() != offset {
				rt.Fatalf("CheckChange returned %v, verdict %v", checked, verdict)
			}
			if !verdict.GetAccepted() {
				continue
			}
			if before, won := winners[baseOf(rec)]; won {
				rt.Fatalf("two changes accepted on base %s, at %d and at %d", baseOf(rec), before, offset)
			}
			winners[baseOf(rec)] = offset
		}
		checkOwners(rt, f.View())
	})
}

// checkOwners checks that the index of keys matches the customers.
func checkOwners(t *rapid.T, v *View) {
	keys := 0
	for name, c := range v.Customers() {
		for _, key := range c.GetKeySha256() {
			keys++
			if owner, _, _ := v.CustomerByKey(key); owner != name {
				t.Fatalf("key of %s is indexed to %q", name, owner)
			}
		}
	}
	if keys != len(v.keyOwners) {
		t.Fatalf("%d keys, %d indexed", keys, len(v.keyOwners))
	}
}

// fakeLog is the platform's log with limited retention. It keeps the fold of all its records and
// the state after each.
type fakeLog struct {
	firstRetained int64
	records       []*api.LogRecord
	fold          *Fold
	states        [][]byte
}

func (l *fakeLog) next() int64 { return int64(len(l.records)) }

func (l *fakeLog) append(t *rapid.T, rec *api.Record) {
	data, err := proto.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	offset := l.next()
	l.records = append(l.records, &api.LogRecord{Offset: offset, Data: data})
	if err := l.fold.Apply(offset, data); err != nil {
		t.Fatal(err)
	}
	l.states = append(l.states, nil)
	l.states[offset], _ = proto.MarshalOptions{Deterministic: true}.Marshal(l.fold.Snapshot())
}

// delayedResponse is a response of the log in flight, with the offset of the tail at the request.
type delayedResponse struct {
	response      LogResponse
	expired       bool
	firstRetained int64
	tail          int64
}

func (l *fakeLog) read(from int64, limit int) delayedResponse {
	if from < l.firstRetained {
		return delayedResponse{expired: true, firstRetained: l.firstRetained}
	}
	start := min(from, l.next())
	end := min(start+int64(limit), l.next())
	return delayedResponse{response: LogResponse{From: from, Records: l.records[start:end], Next: l.next()}, tail: l.next() - 1}
}

func deliver(t *rapid.T, r *Reader, a delayedResponse) {
	if a.expired {
		r.HandleExpired(a.firstRetained)
		return
	}
	if p := r.HandleLog(a.response); p.AtTail && r.fold.Applied() < a.tail {
		t.Fatalf("reader reports the tail with offset %d applied of %d", r.fold.Applied(), a.tail)
	}
}

// No two processes may hold different configurations at the same offset. Two members read a log
// that drops records and is out at times, receive from each other, and are replaced. Responses
// arrive late, twice and out of order.
func TestPropertyReadersNeverFoldAcrossAGap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := &fakeLog{fold: NewFold()}
		members := []*Reader{NewReader(NewFold()), NewReader(NewFold())}
		inFlight := make([][]delayedResponse, len(members))
		applied := []int64{-1, -1}
		drawMember := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "member") }
		fromPeer := func(t *rapid.T, i int) {
			reply := members[1-i].RecordsAfter(members[i].fold.Applied())
			if _, err := members[i].HandlePeer(proto.CloneOf(reply)); err != nil {
				t.Fatal(err)
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "records") {
					l.append(t, drawRecord(t, l.fold))
				}
			},
			"expire": func(t *rapid.T) { l.firstRetained = rapid.Int64Range(l.firstRetained, l.next()).Draw(t, "first") },
			"ask": func(t *rapid.T) {
				i := drawMember(t)
				fetch := members[i].NextFetch()
				if fetch.Source == FromPeer {
					fromPeer(t, i)
					return
				}
				inFlight[i] = append(inFlight[i], l.read(fetch.From, rapid.IntRange(1, 6).Draw(t, "limit")))
			},
			"deliver": func(t *rapid.T) {
				i := drawMember(t)
				if len(inFlight[i]) == 0 {
					t.Skip("nothing in flight")
				}
				deliver(t, members[i], rapid.SampledFrom(inFlight[i]).Draw(t, "answer"))
			},
			"prompt": func(t *rapid.T) {
				if m := members[drawMember(t)]; m.NextFetch().Source == FromLog {
					deliver(t, m, l.read(m.NextFetch().From, rapid.IntRange(1, 6).Draw(t, "limit")))
				}
			},
			"push": func(t *rapid.T) { fromPeer(t, drawMember(t)) },
			"fail": func(t *rapid.T) { members[drawMember(t)].HandleLogFailure() },
			"replace": func(t *rapid.T) {
				i := drawMember(t)
				members[i], applied[i], inFlight[i] = NewReader(NewFold()), -1, nil
			},
			"": func(t *rapid.T) {
				for i, m := range members {
					at := m.fold.Applied()
					if at < applied[i] {
						t.Fatalf("member %d went from %d back to %d", i, applied[i], at)
					}
					applied[i] = at
					state, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m.fold.Snapshot())
					if at >= 0 && !bytes.Equal(state, l.states[at]) {
						t.Fatalf("member %d holds another state at offset %d", i, at)
					}
				}
			},
		})
	})
}

// All VMs are replaced and most records expire. A new process must serve the configuration in
// force, from the snapshot that some member has appended.
func TestNewReaderStartsFromSnapshotInLog(t *testing.T) {
	f := foldOf(t, listRecord("a", usesList, -1, plan("gold", 1)), listRecord("b", usesList, 0, plan("gold", 2)))
	old := marshal(t, &api.Record{Body: &api.Record_Snapshot{Snapshot: foldOf(t).Snapshot()}})
	coversItself := marshal(t, &api.Record{Body: &api.Record_Snapshot{Snapshot: &api.Snapshot{Through: 9}}})
	valid := marshal(t, &api.Record{Body: &api.Record_Snapshot{Snapshot: f.Snapshot()}})
	r := NewReader(NewFold())
	r.HandleExpired(2)
	if got := r.NextFetch(); got != (Fetch{Source: FromLog, From: 2}) {
		t.Fatalf("next fetch %v", got)
	}
	r.HandleLog(LogResponse{From: 2, Records: []*api.LogRecord{{Offset: 2, Data: old}}, Next: 3})
	if got := r.NextFetch(); got.Source != FromPeer || r.fold.Applied() != -1 {
		t.Fatalf("after a snapshot that does not cover the gap: next fetch %v, applied %d", got, r.fold.Applied())
	}
	r.HandlePeerFailure()
	r.HandleLog(LogResponse{From: 2, Records: []*api.LogRecord{{Offset: 2, Data: coversItself}, {Offset: 3, Data: valid}}, Next: 4})
	if got := r.NextFetch(); got != (Fetch{Source: FromLog, From: 2}) || r.fold.Applied() != 1 {
		t.Fatalf("after the snapshot: next fetch %v, applied %d", got, r.fold.Applied())
	}
	p := r.HandleLog(LogResponse{From: 2, Records: []*api.LogRecord{{Offset: 2, Data: old}, {Offset: 3, Data: valid}}, Next: 4})
	if !p.AtTail || r.fold.Applied() != 3 || r.fold.LastSnapshot() != 3 {
		t.Errorf("progress %+v, applied %d", p, r.fold.Applied())
	}
}

func TestLoadOnlyGoesForwardAndOnlyByWholeSnapshots(t *testing.T) {
	ahead := foldOf(t, listRecord("a", plansList, -1, customer("a", "k")), markRecord("m", onVM, "vm1", true, -1))
	f := foldOf(t, listRecord("a", plansList, -1, customer("a", "k")))
	older := f.Snapshot()
	damaged := proto.CloneOf(ahead.Snapshot())
	damaged.Lists[0].Sections[0].Name = "customer"
	future := proto.CloneOf(ahead.Snapshot())
	future.Marks[0].Offset = 2
	for _, bad := range []*api.Snapshot{damaged, future} {
		if err := f.Load(bad); !errors.Is(err, ErrBadSnapshot) || f.Applied() != 0 {
			t.Errorf("damaged snapshot: %v, applied %d", err, f.Applied())
		}
	}
	if err := f.Load(ahead.Snapshot()); err != nil || f.Applied() != 1 || !f.View().VMOutOfService("vm1", "") {
		t.Errorf("newer snapshot: %v, applied %d", err, f.Applied())
	}
	if err := f.Load(older); !errors.Is(err, ErrOlder) || f.Applied() != 1 {
		t.Errorf("older snapshot: %v, applied %d", err, f.Applied())
	}
}

func TestPeersAreNeverAnsweredAcrossAGap(t *testing.T) {
	records := make([]*api.LogRecord, 5)
	for i := range records {
		data := marshal(t, listRecord(fmt.Sprint("c", i), usesList, int64(i-1), plan("gold", float64(i))))
		records[i] = &api.LogRecord{Offset: int64(i), Data: data}
	}
	ahead := NewReader(NewFold())
	ahead.HandleLog(LogResponse{Records: records[:3], Next: 3})
	r := NewReader(NewFold())
	r.HandleLog(LogResponse{Records: records[:1], Next: 1})
	if _, err := r.HandlePeer(&api.LogRecords{Snapshot: ahead.RecordsAfter(-2).GetSnapshot(), Records: records[3:]}); err != nil {
		t.Fatal(err)
	}
	for after, want := range map[int64]int{-1: 0, 0: 0, 1: 0, 2: 2, 3: 1} {
		got := r.RecordsAfter(after)
		if len(got.GetRecords()) != want || (got.GetSnapshot() == nil) != (want > 0) {
			t.Errorf("after %d: %d records, snapshot through %d", after, len(got.GetRecords()), got.GetSnapshot().GetThrough())
		}
	}
	if got := r.RecordsAfter(4); len(got.GetRecords()) != 0 || got.GetSnapshot() != nil {
		t.Errorf("an up-to-date peer got %v", got)
	}
}
