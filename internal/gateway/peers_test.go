package gateway

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"testing"
)

// Guards against a start at which all registrations, sent to one entry after the other, fill the links of the
// entries that know them.
func TestRecordsShrink(t *testing.T) {
	var records bytes.Buffer
	for i := range 500 {
		fmt.Fprintf(&records, `{"service":"app","address":"10.1.%d.%d:8720","zone":"a","concurrency":6,"state":"ready","sequence":%d,"born":17%d}`, i/250, i%250, i, i*7919)
	}
	compressed := compress(records.Bytes())
	if len(compressed) > records.Len()/4 {
		t.Errorf("%d bytes of %d", len(compressed), records.Len())
	}
	z, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		t.Fatal(err)
	}
	if back, err := io.ReadAll(z); err != nil || !bytes.Equal(back, records.Bytes()) {
		t.Errorf("not the same records after %v", err)
	}
}
