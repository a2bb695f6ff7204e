package place

import "time"

// Report takes in what an agent says of its backend server. It may be late; what
// this entry sent since then is added to it.
func (t *Table) Report(vm string, now time.Duration, r Report) {
	t.reopen(now)
	s, ok := t.byVM[vm]
	if !ok {
		return
	}
	for _, prefix := range r.Prefixes {
		t.prefixes.put(prefix, s.id)
	}
	r.Prefixes = nil
	s.past.add(now, s.own)
	others := max(r.Running+r.Queued-s.past.at(now-r.Age), 0)
	s.smooth(now, float64(others), t.cfg.Smooth*float64(r.Age))
	s.report = r
	s.heard = true
	s.teach()
	s.temper(t.cfg.FullTrust)
	t.update(s)
}

// temper draws what a late report says of the others' work towards what is usual for all
// servers, the more the later it is.
//
// Load: reports that are older than the work takes. Harm prevented: by the time a report
// is heard the work that it tells of has ended, and all entries that choose by it send to
// the same servers, which they overfill until the next reports say so. What a
// server holds then follows from what the entries send, and these know their own part.
func (s *server) temper(fullTrust bool) {
	s.expected = s.others
	cold := s.report.Limit < s.report.FullLimit
	if fullTrust || cold || len(s.places) == 0 || s.report.WorkTime == 0 {
		return
	}
	o := s.places[0].offer
	part := s.others / float64(max(s.report.FullLimit, 1))
	if o.crowd == 0 {
		o.crowd = part
	}
	o.crowd += (part - o.crowd) / crowdWeight
	usual := o.crowd * float64(s.report.FullLimit)
	trust := float64(s.report.WorkTime) / float64(s.report.WorkTime+s.report.Age)

	s.expected = usual + trust*(s.others-usual)
}

// crowdWeight is the number of reports over which the usual part of a limit that others
// use is averaged.
const crowdWeight = 64

// teach adds a warm server's work time to what is usual for its offers.
func (s *server) teach() {
	if s.report.WorkTime == 0 || s.report.Limit < s.report.FullLimit {
		return
	}
	for _, place := range s.places {
		o := place.offer
		if o.work == 0 {
			o.work = s.report.WorkTime
		}
		o.work += (s.report.WorkTime - o.work) / 16
	}
}

// coldGuess is how many times the usual work time a server in cold start is taken to
// need until it reports its own.
const coldGuess = 3

// workTime is the expected time of a request at a server; zero for unknown.
func (s *server) workTime() time.Duration {
	warm := s.heard && s.report.Limit >= s.report.FullLimit
	if s.report.WorkTime > 0 || warm || len(s.places) == 0 {
		return s.report.WorkTime
	}
	return coldGuess * s.places[0].offer.work
}

// Suspect says that the link to a backend server has gone silent, or that it is
// heard again.
//
// Load: any. Harm prevented: requests that wait on a dead link until their
// deadline. A suspect gets no new work at all; the callers' other choices do not
// run out, since suspicion ends with the next heartbeat.
func (t *Table) Suspect(vm string, suspect bool) {
	s, ok := t.byVM[vm]
	if !ok || s.suspect == suspect {
		return
	}
	s.suspect = suspect
	t.update(s)
}

// Started says that a request is being sent to a backend server.
func (t *Table) Started(vm string, now time.Duration) {
	t.reopen(now)
	if s, ok := t.byVM[vm]; ok {
		s.own++
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
	t.reopen(now)
	s, ok := t.byVM[vm]
	if !ok {
		return
	}
	if s.own > 0 {
		s.own--
	}
	if o.Closed {
		s.report.Refusing = true
	}
	if o.Refused || o.Failed {
		s.backoffUntil = now + t.cfg.Backoff
		t.backoffs = append(t.backoffs, backoff{until: s.backoffUntil, server: s})
	}
	t.update(s)
}

// reopen lets the servers whose backoff is over take work again.
func (t *Table) reopen(now time.Duration) {
	done := 0
	for done < len(t.backoffs) && t.backoffs[done].until <= now {
		b := t.backoffs[done]
		if b.server.backoffUntil == b.until {
			b.server.backoffUntil = 0
			t.update(b.server)
		}
		done++
	}
	if done > 0 {
		t.backoffs = append(t.backoffs[:0], t.backoffs[done:]...)
	}
}

// smooth takes one more report of the other entries' work into the average.
//
// Load: reports so late that all entries act on the same old state for seconds.
// Harm prevented: the herd in slow motion, in which all fill the backend servers
// that were empty a while ago and starve the others, to and fro. The entry's own
// work is not averaged, so that it still sees at once what it does itself.
func (s *server) smooth(now time.Duration, others, over float64) {
	gap := float64(now - s.heardAt)
	s.heardAt = now
	if !s.heard || over <= 0 {
		s.others = others
		return
	}
	s.others += (others - s.others) * gap / (gap + over)
}

// load is the estimate of the work at a server: the others' by the reports, and
// this entry's own as of now.
func (s *server) load() int {
	return int(s.expected+0.5) + s.own
}

// limit is the number of requests to have at a server. One that has not
// reported yet counts as cold: it gets one request of each entry.
func (s *server) limit() int {
	weight := s.Weight * s.domainWeight
	if weight <= 0 {
		return 0
	}
	if !s.heard {
		return 1
	}
	return max(int(float64(s.report.Limit)*weight), 1)
}

// fullness is the estimated load as a part of the limit, with the request that
// is being placed.
func (s *server) fullness() float64 {
	return float64(s.load()+1) / float64(s.limit())
}

func (t *Table) count(s *server) counted {
	limit := s.limit()
	if limit == 0 || s.suspect || s.report.Refusing {
		return counted{}
	}
	load := s.load()
	room := limit + int(t.cfg.QueueRoom*float64(limit))
	return counted{
		up:    true,
		cold:  !s.heard || s.report.Limit < s.report.FullLimit,
		state: s.state(load < room),
		limit: limit,
		free:  max(limit-load, 0),
	}
}

// state says what a server may get now. Nobody may wait at one in cold start whose
// work time is not known yet: its queue may outlast any deadline.
func (s *server) state(room bool) state {
	switch {
	case s.backoffUntil != 0:
		return closed
	case room:
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
	was, is := s.counted, t.count(s)
	if was == is {
		return
	}
	s.counted = is
	for i := range s.places {
		o := s.places[i].offer
		o.up += one(is.up) - one(was.up)
		o.cold += one(is.cold) - one(was.cold)
		o.limit += is.limit - was.limit
		o.free += is.free - was.free
		if is.state == was.state {
			continue
		}
		if was.state != closed {
			o.remove(was.state, s.places[i].index)
		}
		if is.state != closed {
			s.places[i].index = int32(len(o.lists[is.state]))
			o.lists[is.state] = append(o.lists[is.state], s)
		}
	}
}

// remove takes the server at index out of a list.
func (o *offer) remove(from state, index int32) {
	list := o.lists[from]
	last := len(list) - 1
	moved := list[last]
	list[index] = moved
	list[last] = nil
	o.lists[from] = list[:last]
	for i := range moved.places {
		if moved.places[i].offer == o {
			moved.places[i].index = index
		}
	}
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}
