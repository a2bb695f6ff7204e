package bounded

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestReadAll(t *testing.T) {
	for _, c := range []struct {
		name     string
		in       string
		limit    int64
		tooLarge bool
	}{
		{"empty", "", 0, false},
		{"below its limit", "abc", 4, false},
		{"at its limit", "abcd", 4, false},
		{"beyond its limit", "abcde", 4, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, r := range []io.Reader{strings.NewReader(c.in), iotest.OneByteReader(strings.NewReader(c.in))} {
				data, err := ReadAll(r, c.limit, "a message")
				if IsTooLarge(err) != c.tooLarge || err != nil && !c.tooLarge {
					t.Errorf("error %v", err)
				}
				if want := c.in[:min(int(c.limit), len(c.in))]; string(data) != want {
					t.Errorf("read %q, want %q", data, want)
				}
			}
		})
	}
}

// A message is allowed what an earlier one on the same connection has left, or less.
func TestEachMessageHasItsOwnLimit(t *testing.T) {
	r := NewReader(strings.NewReader("aaabbbb"), 3, "the first")
	first := make([]byte, 3)
	if _, err := io.ReadFull(r, first); err != nil {
		t.Fatal(err)
	}
	r.Allow(3, "the second")
	rest, err := io.ReadAll(r)
	var tooLarge *TooLargeError
	if string(rest) != "bbb" || !errors.As(err, &tooLarge) || tooLarge.What != "the second" || tooLarge.Limit != 3 {
		t.Errorf("read %q, %v", rest, err)
	}
}

// endless sends without end.
type endless struct{ sent int }

func (e *endless) Read(p []byte) (int, error) {
	e.sent += len(p)
	return len(p), nil
}

// Many messages of a size that is allowed fill the memory together.
func TestMessagesTogetherHoldNoMoreThanTheyMay(t *testing.T) {
	const limit, each = 10 << 10, 4 << 10
	buffers := NewBuffers(limit)
	var held [][]byte
	for range 100 {
		data, isWhole, err := buffers.Read(&endless{}, each)
		if err != nil || isWhole {
			t.Fatalf("whole %v, error %v", isWhole, err)
		}
		held = append(held, data)
	}
	// Each of them reads once before it is stopped.
	if got := buffers.Held(); got > limit+100*minRead+each {
		t.Errorf("%d bytes are held", got)
	}
	for _, data := range held {
		buffers.Release(data)
	}
	if buffers.Held() != 0 {
		t.Errorf("%d bytes are held after all were released", buffers.Held())
	}
	data, isWhole, err := buffers.Read(bytes.NewReader(make([]byte, each)), each)
	if err != nil || !isWhole || len(data) != each {
		t.Errorf("read %d bytes, whole %v, error %v", len(data), isWhole, err)
	}
}

func TestDiscard(t *testing.T) {
	if err := Discard(strings.NewReader("abcd"), 4, "a message"); err != nil {
		t.Error(err)
	}
	e := &endless{}
	if err := Discard(e, 1<<20, "a message"); !IsTooLarge(err) || e.sent > 2<<20 {
		t.Errorf("error %v after %d bytes", err, e.sent)
	}
}
