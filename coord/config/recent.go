package config

import (
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

// Bounds of the records kept for peers. Peers that are further behind get a
// snapshot.
const (
	recentRecords = 1024
	recentBytes   = 256 << 10
)

// recent keeps the newest records as read, without gaps, for peers that are a
// little behind.
type recent struct {
	records []*api.LogRecord
	bytes   int
}

func (r *recent) add(rec *api.LogRecord) {
	if n := len(r.records); n > 0 && r.records[n-1].GetOffset()+1 != rec.GetOffset() {
		// A snapshot was loaded in between: what is older cannot be joined to it.
		*r = recent{}
	}
	r.records = append(r.records, rec)
	r.bytes += len(rec.GetData())
	for len(r.records) > recentRecords || r.bytes > recentBytes {
		r.bytes -= len(r.records[0].GetData())
		r.records[0] = nil
		r.records = r.records[1:]
	}
}

// after returns the records from after+1 up to and with applied, nil if not all of
// them are kept.
func (r *recent) after(after, applied int64) []*api.LogRecord {
	if len(r.records) == 0 {
		return nil
	}
	first := r.records[0].GetOffset()
	last := r.records[len(r.records)-1].GetOffset()
	if last != applied || after+1 < first || after >= last {
		return nil
	}
	return r.records[after+1-first:]
}

// snapshotIn returns the snapshot that a record carries, nil for any other record.
func snapshotIn(data []byte) *api.Snapshot {
	rec := &api.Record{}
	if proto.Unmarshal(data, rec) != nil {
		return nil
	}
	return rec.GetSnapshot()
}
