package member

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/internal/platform"
	"github.com/apricothub/apricothub/internal/result"
)

const (
	// readLimit is how many records one read of the log asks for.
	readLimit = 256
	// refetchAfter is how long an answer to a fetch from a peer is waited for
	// before another fetch is sent.
	refetchAfter = 100 * time.Millisecond
)

// The results that log lines of failures carry.
var (
	logUnavailable = result.Label(api.ResultCode_LOG_UNAVAILABLE)
	unreachable    = result.Label(api.ResultCode_UNREACHABLE)
)

// message takes one control message of a link.
func (n *Node) message(s *link.Session, m *api.Control, said time.Duration) {
	p, ok := n.peers[s]
	if !ok {
		return
	}
	switch body := m.GetBody().(type) {
	case *api.Control_Heartbeat:
		n.heartbeat(p, body.Heartbeat, said)
	case *api.Control_Records:
		n.takeRecords(p, body.Records)
	case *api.Control_Counts:
		n.takeCounts(p, body.Counts)
	case *api.Control_HoldersRequest:
		n.reportHolders(p, body.HoldersRequest.GetOffset())
	case *api.Control_Holders:
		n.takeHolders(p, body.Holders)
	case *api.Control_Fetch:
		n.sendRecords(p, body.Fetch.GetAfter())
	default:
		if n.options.Hooks.Message != nil {
			n.options.Hooks.Message(p.shown, m)
		}
	}
}

func (n *Node) heartbeat(p *peer, beat *api.Heartbeat, said time.Duration) {
	knowledge := beat.GetKnowledge()
	if knowledge == nil {
		// A process that is ending has no state to speak of any more.
		return
	}
	changed := p.draining != beat.GetDraining()
	if said >= 0 {
		p.applied = knowledge.GetApplied()
		p.said = said
		p.heard = true
		changed = changed || p.ready != knowledge.GetReady()
		p.ready = knowledge.GetReady()
		n.fresh.HandleKnowledge(p.shown.Hello.GetVm(), said, knowledge, n.fold.Applied())
	}
	n.fetchFrom(p, knowledge.GetApplied())
	p.draining = beat.GetDraining()
	// What else a heartbeat changes, the age of the evidence, is made visible once a
	// tick: doing it here would look over all links for each heartbeat of each link.
	if changed {
		n.peersChanged()
	}
}

// fetchFrom asks a peer that has applied more for what this process lacks.
func (n *Node) fetchFrom(p *peer, applied int64) {
	now := clock.Now()
	if applied <= n.fold.Applied() || now-n.fetchedAt < refetchAfter {
		return
	}
	n.fetchedAt = now
	fetch := &api.FetchRecords{After: n.fold.Applied()}
	p.shown.Session.Post(&api.Control{Body: &api.Control_Fetch{Fetch: fetch}})
}

// sendRecords answers a peer's fetch, or pushes what the peer lacks.
func (n *Node) sendRecords(p *peer, after int64) {
	answer := n.reader.RecordsAfter(after)
	if len(answer.GetRecords()) == 0 && answer.GetSnapshot() == nil {
		return
	}
	p.held = max(p.held, n.fold.Applied())
	p.shown.Session.Post(&api.Control{Body: &api.Control_Records{Records: answer}})
}

func (n *Node) takeRecords(from *peer, m *api.LogRecords) {
	if s := m.GetSnapshot(); s != nil {
		from.held = max(from.held, s.GetThrough())
	}
	for _, record := range m.GetRecords() {
		from.held = max(from.held, record.GetOffset())
	}
	progress, err := n.reader.HandlePeer(m)
	if err != nil {
		_ = n.logger.Log("msg", "A peer sent what cannot be folded.", "result", result.Label(api.ResultCode_INTERNAL), "err", err)
	}
	n.fetchedAt = 0
	n.advanced(progress.Advanced)
}

// advanced makes new records known here and passes them on, so that a change is
// everywhere in a few milliseconds and reaches those that cannot read the log.
func (n *Node) advanced(more bool) {
	if !more {
		return
	}
	n.fresh.SetApplied(n.fold.Applied())
	n.publish()
	for _, p := range n.byVM {
		if has := max(p.applied, p.held); p.heard && has < n.fold.Applied() {
			n.sendRecords(p, has)
		}
	}
}

// logFollower is the goroutine that reads the log.
type logFollower struct {
	node *Node
	// limit is how many records the next read asks for. An answer that is too large
	// to be taken would fail again for ever, so that each failure halves it.
	limit   int
	failing bool
}

// followLog reads the log and hands what it finds to the control goroutine.
func (n *Node) followLog(ctx context.Context) error {
	follower := logFollower{node: n, limit: readLimit}
	for ctx.Err() == nil {
		var ask config.Fetch
		var rest, wait time.Duration
		if !n.Do(func() {
			ask = n.reader.NextFetch()
			rest, wait = n.restFor(ask, clock.Now()), n.wait()
		}) {
			break
		}
		if ask.Source == config.FromPeer {
			n.askPeers(ctx)
			continue
		}
		if rest > 0 {
			sleep(ctx, rest)
			continue
		}
		follower.read(ctx, ask, wait)
	}
	return ctx.Err()
}

// read makes one read.
func (f *logFollower) read(ctx context.Context, ask config.Fetch, wait time.Duration) {
	n := f.node
	// The answer proves what the tail was at some time after this moment.
	sent := clock.Now()
	batch, err := n.options.Platform.Read(ctx, ask.From, f.limit, wait)
	var expired *platform.ExpiredError
	switch {
	case err == nil:
		n.Do(func() { n.takeBatch(sent, ask.From, batch) })
	case errors.As(err, &expired):
		n.Do(func() { n.reader.HandleExpired(expired.Oldest) })
	default:
		f.failed(ctx, sent, err)
		return
	}
	f.failing = false
	f.limit = min(2*f.limit, readLimit)
	f.pace(ctx, ask, sent)
}

func (f *logFollower) failed(ctx context.Context, sent time.Duration, err error) {
	n := f.node
	f.limit = max(f.limit/2, 1)
	if !f.failing && ctx.Err() == nil {
		_ = n.logger.Log("msg", "The log does not answer.", "result", logUnavailable, "err", err)
	}
	f.failing = true
	n.Do(func() {
		n.reader.HandleLogFailure()
		if n.logFailing == 0 {
			n.logFailing = sent
		}
	})
	sleep(ctx, n.options.Poll)
}

// pace waits when a read has brought nothing: a log that does not hold its answer
// back, or that has no snapshot for a gap, would otherwise be asked without a pause.
func (f *logFollower) pace(ctx context.Context, ask config.Fetch, sent time.Duration) {
	var next config.Fetch
	f.node.Do(func() { next = f.node.reader.NextFetch() })
	if next != ask && next.Source == config.FromLog {
		return
	}
	sleep(ctx, f.node.options.Poll-(clock.Now()-sent))
}

func (n *Node) takeBatch(sent time.Duration, from int64, batch *platform.Batch) {
	progress := n.reader.HandleLog(config.LogResponse{From: from, Records: batch.LogRecords(), Next: batch.NextOffset})
	if progress.AtTail {
		n.fresh.SetApplied(n.fold.Applied())
		n.fresh.ConfirmTail(sent)
	}
	n.logFailing = 0
	n.advanced(progress.Advanced)
	n.publish()
}

// askPeers fetches from the peer that has applied most, when the log cannot give what
// this process needs, and gives it a little time to answer.
func (n *Node) askPeers(ctx context.Context) {
	asked := false
	n.Do(func() {
		var best *peer
		for _, p := range n.byVM {
			if p.heard && p.applied > n.fold.Applied() && (best == nil || p.applied > best.applied) {
				best = p
			}
		}
		if best == nil {
			n.reader.HandlePeerFailure()
			return
		}
		asked = true
		n.fetchedAt = 0
		n.fetchFrom(best, best.applied)
	})
	if !asked {
		return
	}
	sleep(ctx, refetchAfter)
	n.Do(func() {
		if n.reader.NextFetch().Source == config.FromPeer {
			n.reader.HandlePeerFailure()
		}
	})
}

// followVMs reads the platform's list of VMs.
func (n *Node) followVMs(ctx context.Context) error {
	var last *platform.VMList
	for ctx.Err() == nil {
		list, err := n.options.Platform.ListVMs(ctx, last)
		if err == nil && list != last {
			reporters := n.reportersOf(list.VMs)
			n.Do(func() {
				n.takeVMs(list.VMs)
				if reporters != nil {
					n.reporters = reporters
				}
			})
			last = list
		} else if err != nil && ctx.Err() == nil {
			_ = n.logger.Log("msg", "The platform's list of VMs cannot be read. The last one is kept.", "result", unreachable, "err", err)
		}
		sleep(ctx, n.options.VMsPoll)
	}
	return ctx.Err()
}

// takeVMs takes the list of VMs. An empty one is a fault of the platform: this VM is
// alive, and would be on it. Taken at its word, it would empty the acceptance of every
// change and end the dialling of links.
func (n *Node) takeVMs(vms []platform.VM) {
	if len(vms) == 0 {
		_ = n.logger.Log("msg", "The platform's list of VMs is empty. The last one is kept.", "result", unreachable)
		return
	}
	n.noteGone(vms)
	n.vms = vms
	n.leaving = make(map[string]bool)
	var entries, members []string
	for _, vm := range vms {
		members = append(members, vm.ID)
		if vm.State == platform.StateLeaving {
			n.leaving[vm.ID] = true
		}
		if vm.Role == platform.RoleEntry {
			entries = append(entries, vm.ID)
		}
	}
	n.forgetDials(members)
	n.fresh.SetEntries(entries)
	n.fresh.SetMembers(members)
	n.fresh.SetDomains(domainsOf(vms))
	n.reading = n.isReader()
	n.dialMissing(clock.Now())
	n.peersChanged()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
