package place

import "time"

// Report takes in what an agent says of its backend server. It may be late; what
// this entry sent since then is added to it.
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

// discountStaleReport draws what a late report says of the others' work towards what is usual for all
// servers, the more the later it is.
//
// Load: reports that are older than the work takes. Harm prevented: by the time a report
// is heard the work that it tells of has ended, and all entries that choose by it send to
// the same servers, which they overfill until the next reports say so. What a
// server holds then follows from what the entries send, and these know their own part.
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

// averagedReports is the number of reports over which the usual part of a limit that others
// use is averaged.
const averagedReports = 64

// updateAverageWorkTime adds a warm server's work time to what is usual for its offers.
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

// coldWorkTimeFactor is how many times the usual work time a server in cold start is taken to
// need until it reports its own.
const coldWorkTimeFactor = 3

// workTime is the expected time of a request at a server; zero for unknown.
func (s *server) workTime() time.Duration {
	warm := s.hasReport && s.report.Limit >= s.report.FullLimit
	if s.report.WorkTime > 0 || warm || len(s.memberships) == 0 {
		return s.report.WorkTime
	}
	return coldWorkTimeFactor * s.memberships[0].offer.averageWorkTime
}

// Suspect says that the link to a backend server has gone silent, or that it is
// heard again.
//
// Load: any. Harm prevented: requests that wait on a dead link until their
// deadline. A suspect gets no new work at all; the callers' other choices do not
// run out, since suspicion ends with the next heartbeat.
func (t *Table) SetSuspect(vm string, suspect bool) {
	s, ok := t.byVM[vm]
	if !ok || s.suspect == suspect {
		return
	}
	s.suspect = suspect
	t.update(s)
}

// Started says that a request is being sent to a backend server.
func (t *Table) Started(vm string, now time.Duration) {
	t.endBackoffs(now)
	if s, ok := t.byVM[vm]; ok {
		s.ownInFlight++
		t.update(s)
	}
}

// Ended says that a request sent to a backend server is over.
//
// Load: a backend server that refuses or fails at once, and so always looks the
// least loaded. Harm prevented: it draws every new request and refuses them all.
// It gets nothing for Backoff, after which a report or one more try tells.
//
// Load: an agent that stops, or whose failure domain is marked out, with hundreds of
// requests a second. Harm prevented: the entry hears of it up to a heartbeat later, sends
// on what the agent refuses, and takes the offer's last backend server for full. What the
// refusal says is what the next report will say, so it holds until that.
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

// endBackoffs lets the servers whose backoff is over take work again.
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

// smoothOthers takes one more report of the other entries' work into the average.
//
// Load: reports so late that all entries act on the same old state for seconds.
// Harm prevented: the herd in slow motion, in which all fill the backend servers
// that were empty a while ago and starve the others, to and fro. The entry's own
// work is not averaged, so that it still sees at once what it does itself.
func (s *server) smoothOthers(now time.Duration, othersInFlight, timeConstant float64) {
	elapsed := float64(now - s.lastReportAt)
	s.lastReportAt = now
	if !s.hasReport || timeConstant <= 0 {
		s.othersInFlight = othersInFlight
		return
	}
	s.othersInFlight += (othersInFlight - s.othersInFlight) * elapsed / (elapsed + timeConstant)
}

// load is the estimate of the work at a server: the others' by the reports, and
// this entry's own as of now.
func (s *server) load() int {
	return int(s.expectedOthers+0.5) + s.ownInFlight
}

// limit is the number of requests to have at a server. One that has not
// reported yet counts as cold: it gets one request of each entry.
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

// utilization is the estimated load as a part of the limit, with the request that
// is being placed.
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

// state says what a server may get now. Nobody may wait at one in cold start whose
// work time is not known yet: its queue may outlast any deadline.
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

// update brings the sums and lists of a server's offers up to date, at a cost
// that depends only on the number of its offers.
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

// remove takes the server at index out of a list.
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
