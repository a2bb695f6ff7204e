package config

import (
	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
)

// Source is where to fetch records from.
type Source int

const (
	// FromLog reads the platform's log from an offset on.
	FromLog Source = iota + 1
	// FromPeer sends api.FetchRecords to a process that has applied more.
	FromPeer
)

// Fetch describes the next request for records.
type Fetch struct {
	Source Source
	// From is the first offset wanted. A peer is asked for the records after From-1.
	From int64
}

// LogResponse is a successful response of the platform's log.
type LogResponse struct {
	// From is the requested offset.
	From int64
	// Records holds the records from From on, in order and without gaps.
	Records []*api.LogRecord
	// Next is the offset that the next append would have received.
	Next int64
}

// Progress describes the effect of a response.
type Progress struct {
	// Advanced reports whether the fold applied anything new.
	Advanced bool
	// AtTail reports whether the response showed that the fold has applied the whole log. This
	// holds as of when the request was sent, however late the response came.
	AtTail bool
}

// Reader keeps a fold up to date. It decides what to fetch next and handles responses that arrive
// twice, late, out of order or from several sources at once. When the log has dropped records that
// the fold lacks, the reader never folds across the gap. It looks for a snapshot that covers the
// gap, in the log and at peers.
type Reader struct {
	fold  *Fold
	cache recordCache

	// While isScanning, the reader looks for a snapshot in the log. firstRetained is the first
	// offset that the log still holds, scanOffset the next one to read.
	isScanning    bool
	firstRetained int64
	scanOffset    int64

	isPeerNext bool

	// cachedSnapshot is the newest snapshot sent to a peer that was too far behind for records.
	cachedSnapshot *api.Snapshot
}

// NewReader returns a reader that applies records to the fold.
func NewReader(fold *Fold) *Reader { return &Reader{fold: fold} }

// NextFetch returns what to fetch next. The result changes only after a response or failure was
// handled.
func (r *Reader) NextFetch() Fetch {
	r.endScanIfCovered()
	switch {
	case r.isPeerNext:
		return Fetch{Source: FromPeer, From: r.fold.Applied() + 1}
	case r.isScanning:
		return Fetch{Source: FromLog, From: r.scanOffset}
	}
	return Fetch{Source: FromLog, From: r.fold.Applied() + 1}
}

// endScanIfCovered ends the search for a snapshot once the fold reaches the records that the log
// still holds, whether by a snapshot from the log or from a peer.
func (r *Reader) endScanIfCovered() {
	if r.isScanning && r.fold.Applied()+1 >= r.firstRetained {
		r.isScanning = false
		r.isPeerNext = false
	}
}

// HandleLog handles a response of the log.
func (r *Reader) HandleLog(response LogResponse) Progress {
	before := r.fold.Applied()
	r.endScanIfCovered()
	if r.isScanning {
		r.scan(response)
	} else {
		r.applyAll(response.Records)
	}
	applied := r.fold.Applied()
	return Progress{
		Advanced: applied > before,
		// A log that responds with fewer records than are applied reports an old state.
		AtTail: !r.isScanning && response.Next == applied+1,
	}
}

// HandleExpired handles the log's response that it no longer holds the requested offset.
// FirstRetained is the first offset that it holds.
func (r *Reader) HandleExpired(firstRetained int64) {
	if r.fold.Applied()+1 >= firstRetained {
		return // a response to an older request
	}
	r.isScanning = true
	r.firstRetained = firstRetained
	r.scanOffset = firstRetained
}

// HandleLogFailure handles a request that the log did not answer. A peer is asked before the log is
// tried again.
func (r *Reader) HandleLogFailure() { r.isPeerNext = true }

// HandlePeer handles records that a peer sent, in response to a request or as a push. A damaged
// snapshot returns ErrBadSnapshot and is not loaded; the records beside it are still applied.
func (r *Reader) HandlePeer(reply *api.LogRecords) (Progress, error) {
	r.isPeerNext = false
	before := r.fold.Applied()
	var err error
	if s := reply.GetSnapshot(); s.GetThrough() > before && s != nil {
		err = r.fold.Load(s)
	}
	r.applyAll(reply.GetRecords())
	return Progress{Advanced: r.fold.Applied() > before}, err
}

// HandlePeerFailure handles a request that the peer did not answer. The log is asked next.
func (r *Reader) HandlePeerFailure() { r.isPeerNext = false }

// applyAll applies records up to the first gap.
func (r *Reader) applyAll(records []*api.LogRecord) {
	for _, rec := range records {
		if rec.GetOffset() <= r.fold.Applied() {
			continue
		}
		if errors.Is(r.fold.Apply(rec.GetOffset(), rec.GetData()), ErrGap) {
			return
		}
		r.cache.add(rec)
	}
}

// scan searches the records after a gap for a snapshot that covers it. It applies none of the
// records: without those in the gap, they would give a state that no other process has.
func (r *Reader) scan(response LogResponse) {
	if response.From != r.scanOffset {
		return
	}
	for _, rec := range response.Records {
		if rec.GetOffset() != r.scanOffset {
			break
		}
		r.scanOffset++
		if r.loadSnapshot(rec) {
			r.endScanIfCovered()
			return
		}
	}
	if r.scanOffset >= response.Next || len(response.Records) == 0 {
		// No snapshot in the log covers the gap. Ask a peer, then scan again, because
		// members append a snapshot from time to time.
		r.isPeerNext = true
		r.scanOffset = r.firstRetained
	}
}

// loadSnapshot loads the snapshot in a record, if there is one that reaches the records that the
// log still holds. A snapshot that claims to cover its own offset or later ones is invalid and is
// not loaded.
func (r *Reader) loadSnapshot(rec *api.LogRecord) bool {
	s := decodeSnapshot(rec.GetData())
	if s == nil || s.GetThrough()+1 < r.firstRetained || s.GetThrough() >= rec.GetOffset() {
		return false
	}
	return r.fold.Load(s) == nil
}

// RecordsAfter returns what a peer lacks that has applied all records up to an offset: the records,
// a snapshot if the records are not cached, or neither if the peer is up to date. The caller fills
// in the knowledge.
func (r *Reader) RecordsAfter(after int64) *api.LogRecords {
	applied := r.fold.Applied()
	if after >= applied {
		return &api.LogRecords{}
	}
	if records := r.cache.recordsAfter(after, applied); records != nil {
		return &api.LogRecords{Records: records}
	}
	if r.cachedSnapshot == nil || r.cachedSnapshot.GetThrough() != applied {
		r.cachedSnapshot = r.fold.Snapshot()
	}
	return &api.LogRecords{Snapshot: r.cachedSnapshot}
}
