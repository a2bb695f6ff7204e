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
	// maxReadRecords is the number of records that one read of the log requests.
	maxReadRecords = 256
	// refetchInterval is how long to wait for the answer to a fetch from a peer before sending
	// another one.
	refetchInterval = 100 * time.Millisecond
)

// Result labels for the log lines of failures.
var (
	logUnavailable = result.Label(api.ResultCode_LOG_UNAVAILABLE)
	unreachable    = result.Label(api.ResultCode_UNREACHABLE)
)

// handleMessage handles a control message of a link.
func (n *Node) handleMessage(s *link.Session, m *api.Control, notBefore time.Duration) {
	p, ok := n.peers[s]
	if !ok {
		return
	}
	switch body := m.GetBody().(type) {
	case *api.Control_Heartbeat:
		n.handleHeartbeat(p, body.Heartbeat, notBefore)
	case *api.Control_Records:
		n.handleRecords(p, body.Records)
	case *api.Control_Counts:
		n.handleCounts(p, body.Counts)
	case *api.Control_HoldersRequest:
		n.reportHolders(p, body.HoldersRequest.GetOffset())
	case *api.Control_Holders:
		n.handleHolders(p, body.Holders)
	case *api.Control_Fetch:
		n.sendRecords(p, body.Fetch.GetAfter())
	default:
		if n.options.Hooks.HandleMessage != nil {
			n.options.Hooks.HandleMessage(p.published, m)
		}
	}
}

func (n *Node) handleHeartbeat(p *peer, heartbeat *api.Heartbeat, notBefore time.Duration) {
	knowledge := heartbeat.GetKnowledge()
	if knowledge == nil {
		// A process that is shutting down no longer has a state to report.
		return
	}
	changed := p.draining != heartbeat.GetDraining()
	if notBefore >= 0 {
		p.applied = knowledge.GetApplied()
		p.notBefore = notBefore
		p.hasReported = true
		changed = changed || p.ready != knowledge.GetReady()
		p.ready = knowledge.GetReady()
		n.fresh.HandleKnowledge(p.published.Hello.GetVm(), notBefore, knowledge, n.fold.Applied())
	}
	n.fetchFrom(p, knowledge.GetApplied())
	p.draining = heartbeat.GetDraining()
	// The other change that a heartbeat makes, to the age of the evidence, is published once a
	// tick. Publishing iterates over all links, so doing it for each heartbeat would cost the
	// square of the number of links.
	if changed {
		n.peersChanged()
	}
}

// fetchFrom requests the records that this process lacks from a peer that has applied more.
func (n *Node) fetchFrom(p *peer, applied int64) {
	now := clock.Now()
	if applied <= n.fold.Applied() || now-n.lastFetch < refetchInterval {
		return
	}
	n.lastFetch = now
	fetch := &api.FetchRecords{After: n.fold.Applied()}
	p.published.Session.Post(&api.Control{Body: &api.Control_Fetch{Fetch: fetch}})
}

// sendRecords answers a peer's fetch, or pushes the records that the peer lacks.
func (n *Node) sendRecords(p *peer, after int64) {
	records := n.reader.RecordsAfter(after)
	if len(records.GetRecords()) == 0 && records.GetSnapshot() == nil {
		return
	}
	p.exchangedOffset = max(p.exchangedOffset, n.fold.Applied())
	p.published.Session.Post(&api.Control{Body: &api.Control_Records{Records: records}})
}

func (n *Node) handleRecords(from *peer, records *api.LogRecords) {
	if snapshot := records.GetSnapshot(); snapshot != nil {
		from.exchangedOffset = max(from.exchangedOffset, snapshot.GetThrough())
	}
	for _, record := range records.GetRecords() {
		from.exchangedOffset = max(from.exchangedOffset, record.GetOffset())
	}
	progress, err := n.reader.HandlePeer(records)
	if err != nil {
		_ = n.logger.Log("msg", "Records from a peer could not be applied.", "result", result.Label(api.ResultCode_INTERNAL), "err", err)
	}
	n.lastFetch = 0
	n.publishAdvance(progress.Advanced)
}

// publishAdvance publishes newly applied records and pushes them to the peers, so that a change
// reaches all members within a few milliseconds, including those that cannot read the log.
func (n *Node) publishAdvance(advanced bool) {
	if !advanced {
		return
	}
	n.fresh.SetApplied(n.fold.Applied())
	n.publish()
	for _, p := range n.byVM {
		if known := max(p.applied, p.exchangedOffset); p.hasReported && known < n.fold.Applied() {
			n.sendRecords(p, known)
		}
	}
}

// logFollower reads the log on its own goroutine.
type logFollower struct {
	node *Node
	// maxRecords is the number of records that the next read requests. Each failure halves it,
	// because the read of a response that is too large would otherwise fail forever.
	maxRecords int
	failing    bool
}

// followLog reads the log and passes the records to the control goroutine.
func (n *Node) followLog(ctx context.Context) error {
	follower := logFollower{node: n, maxRecords: maxReadRecords}
	for ctx.Err() == nil {
		var fetch config.Fetch
		var delay, maxWait time.Duration
		if !n.Do(func() {
			fetch = n.reader.NextFetch()
			delay, maxWait = n.readDelay(fetch, clock.Now()), n.maxReadWait()
		}) {
			break
		}
		if fetch.Source == config.FromPeer {
			n.fetchFromPeers(ctx)
			continue
		}
		if delay > 0 {
			sleep(ctx, delay)
			continue
		}
		follower.read(ctx, fetch, maxWait)
	}
	return ctx.Err()
}

// read reads the log once.
func (f *logFollower) read(ctx context.Context, fetch config.Fetch, maxWait time.Duration) {
	n := f.node
	// The response shows the tail of the log as of some time after this moment.
	sent := clock.Now()
	batch, err := n.options.Platform.Read(ctx, fetch.From, f.maxRecords, maxWait)
	var expired *platform.ExpiredError
	switch {
	case err == nil:
		n.Do(func() { n.handleBatch(sent, fetch.From, batch) })
	case errors.As(err, &expired):
		n.Do(func() { n.reader.HandleExpired(expired.Oldest) })
	default:
		f.handleFailure(ctx, sent, err)
		return
	}
	f.failing = false
	f.maxRecords = min(2*f.maxRecords, maxReadRecords)
	f.waitUnlessAdvanced(ctx, fetch, sent)
}

func (f *logFollower) handleFailure(ctx context.Context, sent time.Duration, err error) {
	n := f.node
	f.maxRecords = max(f.maxRecords/2, 1)
	if !f.failing && ctx.Err() == nil {
		_ = n.logger.Log("msg", "The log does not answer.", "result", logUnavailable, "err", err)
	}
	f.failing = true
	n.Do(func() {
		n.reader.HandleLogFailure()
		if n.logFailingSince == 0 {
			n.logFailingSince = sent
		}
	})
	sleep(ctx, n.options.LogPollInterval)
}

// waitUnlessAdvanced waits for the poll interval after a read without progress. Otherwise a log
// that does not hold back its response, or that has no snapshot for a gap, would be read in a busy
// loop.
func (f *logFollower) waitUnlessAdvanced(ctx context.Context, fetch config.Fetch, sent time.Duration) {
	var next config.Fetch
	f.node.Do(func() { next = f.node.reader.NextFetch() })
	if next != fetch && next.Source == config.FromLog {
		return
	}
	sleep(ctx, f.node.options.LogPollInterval-(clock.Now()-sent))
}

func (n *Node) handleBatch(sent time.Duration, from int64, batch *platform.Batch) {
	progress := n.reader.HandleLog(config.LogResponse{From: from, Records: batch.LogRecords(), Next: batch.NextOffset})
	if progress.AtTail {
		n.fresh.SetApplied(n.fold.Applied())
		n.fresh.ConfirmTail(sent)
	}
	n.logFailingSince = 0
	n.publishAdvance(progress.Advanced)
	n.publish()
}

// fetchFromPeers fetches from the peer that has applied most, when the log cannot provide what this
// process needs, and waits a short time for its answer.
func (n *Node) fetchFromPeers(ctx context.Context) {
	requested := false
	n.Do(func() {
		var best *peer
		for _, p := range n.byVM {
			if p.hasReported && p.applied > n.fold.Applied() && (best == nil || p.applied > best.applied) {
				best = p
			}
		}
		if best == nil {
			n.reader.HandlePeerFailure()
			return
		}
		requested = true
		n.lastFetch = 0
		n.fetchFrom(best, best.applied)
	})
	if !requested {
		return
	}
	sleep(ctx, refetchInterval)
	n.Do(func() {
		if n.reader.NextFetch().Source == config.FromPeer {
			n.reader.HandlePeerFailure()
		}
	})
}

// followVMs polls the platform's list of VMs.
func (n *Node) followVMs(ctx context.Context) error {
	var last *platform.VMList
	for ctx.Err() == nil {
		list, err := n.options.Platform.ListVMs(ctx, last)
		if err == nil && list != last {
			for _, malformed := range list.Malformed {
				_ = n.logger.Log("msg", "An entry of the platform's list of VMs cannot be decoded and is ignored.", "result", result.Label(api.ResultCode_BAD_LIST), "err", malformed)
			}
			reporters := n.selectReporters(list.VMs)
			n.Do(func() {
				n.setVMs(list.VMs)
				if reporters != nil {
					n.reporters = reporters
				}
			})
			last = list
		} else if err != nil && ctx.Err() == nil {
			_ = n.logger.Log("msg", "The platform's list of VMs could not be read. The previous list is kept.", "result", unreachable, "err", err)
		}
		sleep(ctx, n.options.VMsPollInterval)
	}
	return ctx.Err()
}

// setVMs applies a list of VMs. An empty list is a fault of the platform, because this VM is live
// and should be on it. Applying it would remove all members from the acceptance of each change and
// stop the dialing of links.
func (n *Node) setVMs(vms []platform.VM) {
	if len(vms) == 0 {
		_ = n.logger.Log("msg", "The platform's list of VMs is empty. The previous list is kept.", "result", unreachable)
		return
	}
	n.recordRemovedVMs(vms)
	n.vms = vms
	n.leavingVMs = make(map[string]bool)
	var entries, members []string
	for _, vm := range vms {
		members = append(members, vm.ID)
		if vm.State == platform.StateLeaving {
			n.leavingVMs[vm.ID] = true
		}
		if vm.Role == platform.RoleEntry {
			entries = append(entries, vm.ID)
		}
	}
	n.pruneDialState(members)
	n.fresh.SetEntries(entries)
	n.fresh.SetMembers(members)
	n.fresh.SetDomains(domainsOf(vms))
	n.readsLog = n.isReader()
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
