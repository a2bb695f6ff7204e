package gateway

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/keyed"
	"github.com/apricothub/apricothub/coord/peering"
	"github.com/apricothub/apricothub/internal/result"
)

const (
	// topicMembers holds the list of entries, keyed by VM.
	topicMembers = "keyed.members"
	// membersInterval is the time between two reads of the list by an entry that reads the store for all. It
	// repairs what heartbeats cannot: two halves that never heard of each other, and the list itself.
	membersInterval = 20 * time.Second
	// readerCheckInterval is how often an entry checks whether it reads the store for all.
	readerCheckInterval = time.Second
	// maxListedAtOnce limits the entries that are added to the list in one call.
	maxListedAtOnce = 500
)

// memberList is the list of entries as it was read.
type memberList struct {
	members []peering.Member
	// updates receives the entries to add to the list, and those to remove from it.
	updates chan memberUpdates
}

// memberUpdates are changes of the list of entries.
type memberUpdates struct{ additions, removals []peering.Member }

// maintainMembership keeps the list of entries in the store, and learns of other entries from it.
//
// An entry that starts and is told of the others by one of them calls the store for neither. One that is
// not writes itself to the list and then reads it: of two that start at the same time, at least one learns of
// the other, and its first heartbeat makes it known to the other. Later, the entries that read the store for
// all add those that are missing and remove those that are long gone.
//
// In an outage of the store, the calls of all stay within storeRetriesPerSecond.
func (g *Gateway) maintainMembership(ctx context.Context) error {
	isStarting := true
	select {
	case <-g.askStore:
	case <-g.toldByPeers:
		isStarting = false
	case <-ctx.Done():
		return ctx.Err()
	}
	isListed := false
	for {
		wait := readerCheckInterval
		switch {
		case !isStarting && !g.isStoreReader.Load():
		case (isListed || !isStarting || g.writeSelf(ctx)) && g.readMembers(ctx):
			isListed, isStarting, wait = true, false, g.membersInterval
		default:
			wait = g.maxStoreBackoff()
		}
		if err := sleep(ctx, wait); err != nil {
			return err
		}
	}
}

func (g *Gateway) writeSelf(ctx context.Context) bool {
	if err := g.putMember(ctx, peering.Member{VM: g.settings.VM, IP: g.settings.IP}); err != nil {
		_ = level.Warn(g.logger).Log("msg", "This entry could not be written to the list of entries; the write will be retried.", "err", err,
			"result", result.Label(api.ResultCode_LOG_UNAVAILABLE))
		return false
	}
	return true
}

// putMember writes a member; one without an IP is removed from the list.
func (g *Gateway) putMember(ctx context.Context, m peering.Member) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := g.store.Put(ctx, topicMembers, m.VM, []byte(m.IP))
	return err
}

// readMembers reads the list, passes it to the control goroutine, and makes the changes that the control
// goroutine returns.
func (g *Gateway) readMembers(ctx context.Context) bool {
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	listing, err := g.store.ListNewest(readCtx, topicMembers)
	if err != nil {
		_ = level.Warn(g.logger).Log("msg", "The list of entries could not be read from the store; the read will be retried.", "err", err,
			"result", result.Label(api.ResultCode_LOG_UNAVAILABLE))
		return false
	}
	list := memberList{updates: make(chan memberUpdates, 1)}
	for _, r := range listing.Records {
		if net.ParseIP(string(r.Value)) != nil {
			list.members = append(list.members, peering.Member{VM: r.Key, IP: string(r.Value)})
		}
	}
	select {
	case g.memberLists <- list:
	case <-ctx.Done():
		return false
	}
	select {
	case updates := <-list.updates:
		g.addMembers(ctx, updates.additions)
		g.removeMembers(ctx, updates.removals)
		return true
	case <-ctx.Done():
		return false
	}
}

// addMembers adds entries to the list, in one call. What fails is retried at the next read.
func (g *Gateway) addMembers(ctx context.Context, members []peering.Member) {
	if len(members) == 0 {
		return
	}
	records := make([]keyed.Record, 0, len(members))
	for _, m := range members[:min(len(members), maxListedAtOnce)] {
		records = append(records, keyed.Record{Key: m.VM, Value: []byte(m.IP)})
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := g.store.PutAll(ctx, topicMembers, records); err != nil {
		_ = level.Warn(g.logger).Log("msg", "Live entries could not be added to the list of entries.", "entries", len(records), "err", err,
			"result", result.Label(api.ResultCode_LOG_UNAVAILABLE))
		return
	}
	_ = level.Info(g.logger).Log("msg", "Live entries were added to the list of entries.", "entries", len(records))
}

// removeMembers removes members from the list. A removal that fails is retried at the next read.
func (g *Gateway) removeMembers(ctx context.Context, removals []peering.Member) {
	for _, m := range removals {
		if err := g.putMember(ctx, peering.Member{VM: m.VM}); err != nil {
			_ = level.Warn(g.logger).Log("msg", "A silent entry could not be removed from the list of entries.", "vm", m.VM, "err", err,
				"result", result.Label(api.ResultCode_LOG_UNAVAILABLE))
			return
		}
		_ = level.Info(g.logger).Log("msg", "A silent entry was removed from the list of entries.", "vm", m.VM, "ip", m.IP)
	}
}

// applyMembers adds the listed entries as peers, and returns the changes to make to the list: the first of
// the entries that read the store for all adds the live ones that are missing, and removes those that are
// long gone.
func (c *control) applyMembers(list memberList, now time.Duration) {
	self := peering.Member{VM: c.g.settings.VM, IP: c.g.settings.IP}
	live := map[string]bool{self.IP: true}
	entries := []peering.Member{self}
	for _, b := range c.peers.Live(now) {
		live[b.GetIp()] = true
		if !b.GetLeaving() {
			entries = append(entries, peering.Member{VM: b.GetVm(), IP: b.GetIp()})
		}
	}
	for _, m := range list.members {
		c.peers.AddPeer(m.IP, now)
	}
	c.peers.SetMembersKnown()
	updates := memberUpdates{removals: c.memberPruner.SelectRemovals(list.members, live, now)}
	isListed := make(map[peering.Member]bool, len(list.members))
	for _, m := range list.members {
		isListed[m] = true
	}
	for _, e := range entries {
		if e.VM != "" && !isListed[e] {
			updates.additions = append(updates.additions, e)
		}
	}
	if !c.isFirstReader {
		updates = memberUpdates{}
	}
	list.updates <- updates
}
