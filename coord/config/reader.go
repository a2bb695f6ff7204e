package config

import (
	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
)

// Source says whom to ask next.
type Source int

const (
	// FromLog asks the platform's log for the records from an offset on.
	FromLog Source = iota + 1
	// FromPeer sends api.FetchRecords to a process that has applied more.
	FromPeer
)

// Fetch is what to fetch next.
type Fetch struct {
	Source Source
	// From is the first offset wanted. Of a peer, ask for what comes after From-1.
	From int64
}

// LogResponse is an answer of the platform's log.
type LogResponse struct {
	// From is the offset that was asked for.
	From int64
	// Records holds the records from From on, in order and without gaps.
	Records []*api.LogRecord
	// Next is the offset that the next append would have got.
	Next int64
}

// Progress says what an answer changed.
type Progress struct {
	// Advanced says that more is applied than before.
	Advanced bool
	// AtTail says that the answer showed all of the log to be applied. It is evidence
	// as of when the request was sent, however late the answer came.
	AtTail bool
}

// Reader keeps a fold up to date. It decides what to fetch next and takes answers
// in whatever order they come: twice, late, or from several sources at once. When
// the log has dropped records that the fold lacks, the reader never folds across
// the gap: it looks for a snapshot that covers it, in the log and at peers.
type Reader struct {
	fold  *Fold
	cache recordCache

	// While isScanning, first is the first offset that the log still holds and cursor
	// the next one to look at.
	isScanning    bool
	firstRetained int64
	scanOffset    int64

	isPeerNext bool

	// The newest answer to a peer that was too far behind for records.
	cachedSnapshot *api.Snapshot
}

// NewReader returns a reader that feeds the fold.
func NewReader(fold *Fold) *Reader { return &Reader{fold: fold} }

// NextFetch returns what to fetch next. It stays the same until an answer was taken.
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

// endScanIfCovered ends the search for a snapshot once the fold reaches the records that
// the log still holds, whoever brought it there.
func (r *Reader) endScanIfCovered() {
	if r.isScanning && r.fold.Applied()+1 >= r.firstRetained {
		r.isScanning = false
		r.isPeerNext = false
	}
}

// HandleLog takes an answer of the log.
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
		// A log that answers with less than is applied has told of its past.
		AtTail: !r.isScanning && response.Next == applied+1,
	}
}

// HandleExpired takes the log's answer that the offset asked for is gone; first is the
// first one that it still holds.
func (r *Reader) HandleExpired(firstRetained int64) {
	if r.fold.Applied()+1 >= firstRetained {
		return // An answer to an older request.
	}
	r.isScanning = true
	r.firstRetained = firstRetained
	r.scanOffset = firstRetained
}

// HandleLogFailure says that the log gave no answer: a peer is asked before the log is
// tried again.
func (r *Reader) HandleLogFailure() { r.isPeerNext = true }

// HandlePeer takes an answer or a push of a peer. A damaged snapshot gives
// ErrBadSnapshot and changes nothing.
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

// HandlePeerFailure says that the peer asked gave no answer: the log comes next.
func (r *Reader) HandlePeerFailure() { r.isPeerNext = false }

// applyAll folds records up to the first one that does not follow.
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

// scan looks through records past a gap for a snapshot that covers it. Nothing is
// folded: the records in between would give a state that no other process has.
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
		// No snapshot in the log covers the gap: ask a peer, then look again, as
		// members append snapshots from time to time.
		r.isPeerNext = true
		r.scanOffset = r.firstRetained
	}
}

// loadSnapshot loads the snapshot in a record if it reaches up to the records that the log
// still holds and is no forecast.
func (r *Reader) loadSnapshot(rec *api.LogRecord) bool {
	s := decodeSnapshot(rec.GetData())
	if s == nil || s.GetThrough()+1 < r.firstRetained || s.GetThrough() >= rec.GetOffset() {
		return false
	}
	return r.fold.Load(s) == nil
}

// RecordsAfter returns what a peer lacks after an offset: records, a snapshot when they
// are not kept, or neither when it has as much. The caller adds its knowledge.
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
