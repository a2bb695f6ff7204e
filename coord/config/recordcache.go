package config

import (
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

// Limits of the records cached for peers. Peers that are further behind get a snapshot.
const (
	maxCachedRecords = 1024
	maxCachedBytes   = 256 << 10
)

// recordCache holds the newest records as read, without gaps, for peers that are slightly behind.
type recordCache struct {
	records []*api.LogRecord
	bytes   int
}

func (r *recordCache) add(rec *api.LogRecord) {
	if n := len(r.records); n > 0 && r.records[n-1].GetOffset()+1 != rec.GetOffset() {
		// A snapshot was loaded in between, so the cached records no longer connect.
		*r = recordCache{}
	}
	r.records = append(r.records, rec)
	r.bytes += len(rec.GetData())
	for len(r.records) > maxCachedRecords || r.bytes > maxCachedBytes {
		r.bytes -= len(r.records[0].GetData())
		r.records[0] = nil
		r.records = r.records[1:]
	}
}

// recordsAfter returns the records from after+1 up to and including applied, nil if not all of them
// are cached.
func (r *recordCache) recordsAfter(after, applied int64) []*api.LogRecord {
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

// decodeSnapshot returns the snapshot in a record, nil if the record holds none.
func decodeSnapshot(data []byte) *api.Snapshot {
	rec := &api.Record{}
	if proto.Unmarshal(data, rec) != nil {
		return nil
	}
	return rec.GetSnapshot()
}
