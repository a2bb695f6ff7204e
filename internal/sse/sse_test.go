package sse

import (
	"io"
	"strings"
	"testing"
)

func TestNext(t *testing.T) {
	long := strings.Repeat("x", 10000)
	for _, c := range []struct {
		name, in string
		want     []Event
		err      error
	}{
		{"whole", "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n", []Event{{[]byte("id: 1\ndata: a\n\n"), "1"}, {[]byte("id:2\r\ndata: b\r\n\r\n"), "2"}}, io.EOF},
		{"broken off within an event", "id: 1\n\nid: 2\ndata: b\n", []Event{{[]byte("id: 1\n\n"), "1"}}, io.ErrUnexpectedEOF},
		{"broken off within a line", "id: 1\n\nid", []Event{{[]byte("id: 1\n\n"), "1"}}, io.ErrUnexpectedEOF},
		{"longer than the buffer", "data: " + long + "\n\n", []Event{{[]byte("data: " + long + "\n\n"), ""}}, io.EOF},
		{"empty", "", nil, io.EOF},
	} {
		r := NewReader(strings.NewReader(c.in))
		for _, want := range c.want {
			got, err := r.Next()
			if err != nil || string(got.Raw) != string(want.Raw) || got.ID != want.ID {
				t.Errorf("%s: %q, %v; want %q", c.name, got, err, want)
			}
		}
		if _, err := r.Next(); err != c.err {
			t.Errorf("%s: ends with %v, want %v", c.name, err, c.err)
		}
	}
}

func FuzzNext(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Fuzz(func(t *testing.T, in string) {
		r := NewReader(strings.NewReader(in))
		consumed := 0
		for {
			event, err := r.Next()
			if err != nil {
				break
			}
			if string(event.Raw) != in[consumed:consumed+len(event.Raw)] {
				t.Fatalf("event %q differs from the input at offset %d", event.Raw, consumed)
			}
			consumed += len(event.Raw)
		}
	})
}
