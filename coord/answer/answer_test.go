package answer

import (
	"flag"
	"fmt"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricothub/apricothub/api"
)

// The fixed seed makes runs repeatable; "make explore" uses another one.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
}

// Links fail after any part, and delayed copies of the stream from earlier links mix in. The
// caller must still receive the text once, completely and in order: the numbers of the parts
// let the assembler drop duplicates and detect gaps.
func TestAnswerIsWholeAcrossBrokenLinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := NewStore(1<<20, time.Minute)
		buffer, err := store.Add("a", "c")
		if err != nil {
			t.Fatal(err)
		}
		want := ""
		for i := range rapid.IntRange(0, 20).Draw(t, "parts") {
			data := fmt.Sprintf("part %d;", i)
			want += data
			if _, err := store.Append(buffer, []byte(data)); err != nil {
				t.Fatal(err)
			}
		}
		store.End(buffer, 0)

		assembler := NewAssembler(1)
		got := ""
		ended := false
		for attempt := 0; !ended; attempt++ {
			cursor := CursorAt(assembler.NextPart())
			if attempt > 0 && rapid.Bool().Draw(t, "late copy") {
				cursor = CursorAt(1)
			}
			cut := rapid.IntRange(0, 25).Draw(t, "cut after")
			for range cut {
				var event *api.WorkEvent
				event, cursor = buffer.Next(cursor)
				if event == nil {
					break
				}
				if part := event.GetPart(); part != nil {
					isNew, err := assembler.AddPart(part)
					if err != nil {
						t.Fatal(err)
					}
					if isNew {
						got += string(part.GetData())
					}
				}
				if end := event.GetEnd(); end != nil {
					if err := assembler.CheckEnd(end); err != nil {
						t.Fatal(err)
					}
					ended = true
				}
			}
		}
		if got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	})
}

func TestAssemblerRefusesShortAnswers(t *testing.T) {
	assembler := NewAssembler(1)
	if _, err := assembler.AddPart(&api.Part{Number: 2, Data: []byte("x")}); err != ErrGap {
		t.Errorf("a part out of order gave %v", err)
	}
	if _, err := assembler.AddPart(&api.Part{Number: 1, Data: []byte("x")}); err != nil {
		t.Fatal(err)
	}
	for _, end := range []*api.End{{Parts: 2, Bytes: 2}, {Parts: 1, Bytes: 2}, {}} {
		if err := assembler.CheckEnd(end); err != ErrShort {
			t.Errorf("end %v gave %v", end, err)
		}
	}
	if err := assembler.CheckEnd(&api.End{Parts: 1, Bytes: 1}); err != nil {
		t.Error(err)
	}
}

// Guards against answers without end that fill the memory together, and against short ones that yield to them.
func TestAnswersShareTheMemory(t *testing.T) {
	const limit, endless = 100_000, 10
	store := NewStore(limit, time.Minute)
	var buffers []*Buffer
	add := func(id string) *Buffer {
		b, err := store.Add(id, "c")
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	for n := range endless {
		buffers = append(buffers, add(strconv.Itoa(n)))
	}
	short := add("short")
	for isFull := false; !isFull; {
		isFull = true
		for _, b := range buffers {
			_, err := store.Append(b, []byte("x"))
			isFull = isFull && err != nil
		}
	}
	if store.Bytes() > 2*limit {
		t.Errorf("%d bytes are held, want at most %d", store.Bytes(), 2*limit)
	}
	if _, err := store.Append(short, make([]byte, 100)); err != nil {
		t.Errorf("a short answer: %v", err)
	}
	for _, b := range buffers {
		store.Fail(b, 0, &api.Refusal{Code: api.ResultCode_ANSWER_BROKEN})
	}
	next := add("next")
	if event, _ := buffers[0].Next(CursorAt(1)); event.GetRefusal() == nil {
		t.Errorf("what became of a failed answer is lost: %v", event)
	}
	store.End(next, 0)
	store.End(short, 0)
	if store.Expire(2 * time.Minute); store.Bytes() != 0 || store.Len() != 0 || store.failed.Len() != 0 {
		t.Errorf("%d bytes in %d answers are left, %d failed", store.Bytes(), store.Len(), store.failed.Len())
	}
}

// Callers may never fetch their answers, but the memory for answers is limited: delivered answers
// are evicted first, then new work is refused before it runs, and the remaining answers expire
// after their retention.
func TestStoreIsBounded(t *testing.T) {
	store := NewStore(1000, time.Minute)
	add := func(id string) (*Buffer, error) {
		buffer, err := store.Add(id, "c")
		if err != nil {
			return nil, err
		}
		if _, err := store.Append(buffer, make([]byte, 400)); err != nil {
			t.Fatal(err)
		}
		store.End(buffer, 0)
		return buffer, nil
	}
	first, err := add("1")
	if err != nil {
		t.Fatal(err)
	}
	store.MarkDelivered(first)
	for _, id := range []string{"2", "3", "4"} {
		if _, err := add(id); err != nil {
			t.Fatalf("answer %s: %v", id, err)
		}
	}
	if _, ok := store.Lookup("1"); ok {
		t.Error("the delivered answer was kept although memory was short")
	}
	if _, err := add("5"); err != ErrFull {
		t.Errorf("a full store gave %v", err)
	}
	if expired := store.Expire(2 * time.Minute); len(expired) != 3 {
		t.Errorf("%d answers expired, want 3", len(expired))
	}
	if store.Bytes() != 0 || store.Len() != 0 {
		t.Errorf("%d bytes in %d answers are left", store.Bytes(), store.Len())
	}
}
