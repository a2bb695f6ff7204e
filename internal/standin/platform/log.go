package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/apricothub/apricothub/internal/standin/web"
)

// record is a log record as sent to a reader.
type record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data,omitempty"`
}

// page is the response of GET /log/records.
type page struct {
	First   int64    `json:"first"`
	Next    int64    `json:"next"`
	Records []record `json:"records"`
}

// recordLog is an append-only log. Records with offsets below first have expired. A negative
// maxRecords means no limit.
type recordLog struct {
	web.Monitor
	mode       string
	delay      time.Duration
	first      int64
	maxRecords int64
	records    [][]byte
}

// delayOrFail waits for the configured delay and returns an error if the log is set to be down.
func (l *recordLog) delayOrFail() (mode string, err error) {
	var delay time.Duration
	l.WithLock(func() { mode, delay = l.mode, l.delay })
	time.Sleep(delay)
	if mode == "down" {
		err = web.Refuse(http.StatusServiceUnavailable, "the log is down")
	}
	return mode, err
}

// expire drops the oldest records beyond maxRecords. The caller holds the lock.
func (l *recordLog) expire() {
	if excess := int64(len(l.records)) - l.maxRecords; l.maxRecords >= 0 && excess > 0 {
		l.records = l.records[excess:]
		l.first += excess
	}
}

func (l *recordLog) append(_ *http.Request, data []byte) (answer record, err error) {
	mode, err := l.delayOrFail()
	if err != nil {
		return answer, err
	}
	l.WithLock(func() {
		answer.Offset = l.first + int64(len(l.records))
		l.records = append(l.records, data)
		l.expire()
	})
	if mode == "lose_answers" {
		panic(http.ErrAbortHandler) // Close the connection: the record is appended, but the response is lost.
	}
	return answer, nil
}

func (l *recordLog) read(r *http.Request, _ web.NoBody) (p page, err error) {
	if _, err := l.delayOrFail(); err != nil {
		return p, err
	}
	from, limit := web.QueryInt(r, "from", 0), web.QueryInt(r, "limit", 1000)
	ctx, cancel := context.WithTimeout(r.Context(), web.Millis(web.QueryInt(r, "wait_ms", 0)))
	defer cancel()
	down := false
	_ = l.WaitUntil(ctx, func() bool {
		p, down = l.readPage(from, limit), l.mode == "down"
		return down || from != p.Next
	})
	switch {
	case down:
		return p, web.Refuse(http.StatusServiceUnavailable, "the log is down")
	case from < p.First:
		return p, web.Refusal{Status: http.StatusGone, Body: page{First: p.First, Next: p.Next}}
	}
	return p, nil
}

// readPage returns up to limit records starting at offset from. The caller holds the lock.
func (l *recordLog) readPage(from, limit int64) page {
	p := page{First: l.first, Next: l.first + int64(len(l.records)), Records: []record{}}
	for offset := max(from, l.first); offset < min(p.Next, from+limit); offset++ {
		p.Records = append(p.Records, record{offset, l.records[offset-l.first]})
	}
	return p
}
