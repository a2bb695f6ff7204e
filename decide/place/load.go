package place

import "time"

// Report updates a backend server from its agent's report. The report may be stale; the requests
// that this entry sent since then are added to it.
func (t *Table) Report(vm string, now time.Duration, r Report) {
	t.endBackoffs(now)
	s, ok := t.byVM[vm]
	if !ok {
		return
	}
	for _, prefix := range r.Prefixes {
		t.prefixes.put(prefix, s.id)
	}
	r.Prefixes = nil
	s.ownHistory.add(now, s.ownInFlight)
	othersInFlight := max(r.Running+r.Queued-s.ownHistory.ownAt(now-r.Age), 0)
	s.smoothOthers(now, float64(othersInFlight), t.cfg.SmoothingRatio*float64(r.Age))
	s.report = r
	s.hasReport = true
	s.updateAverageWorkTime()
	s.discountStaleReport(t.cfg.TrustStaleReports)
	t.update(s)
}

// discountStaleReport moves the reported load of the other entries towards the average of all
// servers, the further the older the report is.
//
// When reports are older than the work takes, the work that they show has ended by the time they
// arrive. Entries that all choose by them would send to the same servers and overfill these until
// the next reports. The load of a server then depends on what the entries send now, and each entry
// knows its own requests.
func (s *server) discountStaleReport(trustStaleReports bool) {
	s.expectedOthers = s.othersInFlight
	cold := s.report.Limit < s.report.FullLimit
	if trustStaleReports || cold || len(s.memberships) == 0 || s.report.WorkTime == 0 {
		return
	}
	o := s.memberships[0].offer
	utilization := s.othersInFlight / float64(max(s.report.FullLimit, 1))
	if o.averageUtilization == 0 {
		o.averageUtilization = utilization
	}
	o.averageUtilization += (utilization - o.averageUtilization) / averagedReports
	average := o.averageUtilization * float64(s.report.FullLimit)
	trust := float64(s.report.WorkTime) / float64(s.report.WorkTime+s.report.Age)

	s.expectedOthers = average + trust*(s.othersInFlight-average)
}

// averagedReports is the number of reports over which the utilization by other entries is averaged.
const averagedReports = 64

// updateAverageWorkTime adds a warm server's work time to the moving averages of its offers.
func (s *server) updateAverageWorkTime() {
	if s.report.WorkTime == 0 || s.report.Limit < s.report.FullLimit {
		return
	}
	for _, m := range s.memberships {
		o := m.offer
		if o.averageWorkTime == 0 {
			o.averageWorkTime = s.report.WorkTime
		}
		o.averageWorkTime += (s.report.WorkTime - o.averageWorkTime) / 16
	}
}

// coldWorkTimeFactor is the ratio of the work time assumed for a server in cold start to the
// average of warm servers, until the server reports its own.
const coldWorkTimeFactor = 3

// workTime returns the expected time of a request at a server; zero for unknown.
func (s *server) workTime() time.Duration {
	warm := s.hasReport && s.report.Limit >= s.report.FullLimit
	if s.report.WorkTime > 0 || warm || len(s.memberships) == 0 {
		return s.report.WorkTime
	}
	return coldWorkTimeFactor * s.memberships[0].offer.averageWorkTime
}

// SetSuspect sets whether a backend server is suspect, because nothing is received on the link to
// it.
//
// A suspect server gets no new requests, as these could wait on a dead link until their deadline.
// Callers do not run out of other servers, since a server stops being suspect with its next
// heartbeat.
func (t *Table) SetSuspect(vm string, suspect bool) {
	s, ok := t.byVM[vm]
	if !ok || s.suspect == suspect {
		return
	}
	s.suspect = suspect
	t.update(s)
}

// Started records that a request is being sent to a backend server.
func (t *Table) Started(vm string, now time.Duration) {
	t.endBackoffs(now)
	if s, ok := t.byVM[vm]; ok {
		s.ownInFlight++
		t.update(s)
	}
}

// Ended records that a request sent to a backend server has ended.
//
// A server that refuses or fails requests at once always looks the least loaded, and would attract
// every new request. It gets none for Config.Backoff, after which a report or another attempt shows
// its state.
//
// When an agent stops, or its failure domain is marked out, the entry learns of it up to a
// heartbeat later. Until then it would send hundreds of requests per second to an agent that
// refuses them, and treat the offer's last backend server as full. RefusesAll therefore closes the
// server until its next report, which is expected to say the same.
func (t *Table) Ended(vm string, now time.Duration, o Outcome) {
	t.endBackoffs(now)
	s, ok := t.byVM[vm]
	if !ok {
		return
	}
	if s.ownInFlight > 0 {
		s.ownInFlight--
	}
	if o.RefusesAll {
		s.report.Refusing = true
	}
	if o.Refused || o.Failed {
		s.backoffUntil = now + t.cfg.Backoff
		t.backoffs = append(t.backoffs, backoff{until: s.backoffUntil, server: s})
	}
	t.update(s)
}

// endBackoffs makes servers whose backoff is over available again.
func (t *Table) endBackoffs(now time.Duration) {
	ended := 0
	for ended < len(t.backoffs) && t.backoffs[ended].until <= now {
		b := t.backoffs[ended]
		if b.server.backoffUntil == b.until {
			b.server.backoffUntil = 0
			t.update(b.server)
		}
		ended++
	}
	if ended > 0 {
		t.backoffs = append(t.backoffs[:0], t.backoffs[ended:]...)
	}
}

// smoothOthers adds one report of the other entries' requests in flight to the moving average.
//
// Without it, all entries would act on the same stale state for seconds: a slow herd effect, in
// which all fill the backend servers that were empty a while ago and starve the others, back and
// forth. The entry's own requests are not averaged, so that it sees its own effect at once.
func (s *server) smoothOthers(now time.Duration, othersInFlight, timeConstant float64) {
	elapsed := float64(now - s.lastReportAt)
	s.lastReportAt = now
	if !s.hasReport || timeConstant <= 0 {
		s.othersInFlight = othersInFlight
		return
	}
	s.othersInFlight += (othersInFlight - s.othersInFlight) * elapsed / (elapsed + timeConstant)
}

// load returns the estimated number of requests at a server: those of other entries by the reports,
// and this entry's own as of now.
func (s *server) load() int {
	return int(s.expectedOthers+0.5) + s.ownInFlight
}

// limit returns the number of requests that a server may have. A server that has not reported yet
// counts as cold: it gets one request from each entry.
func (s *server) limit() int {
	weight := s.Weight * s.domainWeight
	if weight <= 0 {
		return 0
	}
	if !s.hasReport {
		return 1
	}
	return max(int(float64(s.report.Limit)*weight), 1)
}

// utilization returns the ratio of the estimated load, including the request to be placed, to the
// limit.
func (s *server) utilization() float64 {
	return float64(s.load()+1) / float64(s.limit())
}

func (t *Table) contributionOf(s *server) contribution {
	limit := s.limit()
	if limit == 0 || s.suspect || s.report.Refusing {
		return contribution{}
	}
	load := s.load()
	maxLoad := limit + int(t.cfg.QueueRatio*float64(limit))
	return contribution{
		isUp:   true,
		isCold: !s.hasReport || s.report.Limit < s.report.FullLimit,
		state:  s.state(load < maxLoad),
		limit:  limit,
		free:   max(limit-load, 0),
	}
}

// state returns what a server may get now. No request may be queued at a server in cold start whose
// work time is unknown: its queue may outlast any deadline.
func (s *server) state(hasSlots bool) state {
	switch {
	case s.backoffUntil != 0:
		return closed
	case hasSlots:
		return open
	case s.report.WorkTime == 0 && s.report.Limit < s.report.FullLimit:
		return closed
	default:
		return full
	}
}

// update brings the sums and lists of a server's offers up to date. Its cost depends only on the
// number of these offers.
func (t *Table) update(s *server) {
	before, after := s.contribution, t.contributionOf(s)
	if before == after {
		return
	}
	s.contribution = after
	for i := range s.memberships {
		o := s.memberships[i].offer
		o.upCount += boolToInt(after.isUp) - boolToInt(before.isUp)
		o.coldCount += boolToInt(after.isCold) - boolToInt(before.isCold)
		o.limit += after.limit - before.limit
		o.free += after.free - before.free
		if after.state == before.state {
			continue
		}
		if before.state != closed {
			o.remove(before.state, s.memberships[i].index)
		}
		if after.state != closed {
			s.memberships[i].index = int32(len(o.byState[after.state]))
			o.byState[after.state] = append(o.byState[after.state], s)
		}
	}
}

// remove removes the server at index from a list.
func (o *offer) remove(from state, index int32) {
	list := o.byState[from]
	last := len(list) - 1
	moved := list[last]
	list[index] = moved
	list[last] = nil
	o.byState[from] = list[:last]
	for i := range moved.memberships {
		if moved.memberships[i].offer == o {
			moved.memberships[i].index = index
		}
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
