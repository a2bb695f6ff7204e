package gateway

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/peering"
	"github.com/apricothub/apricothub/internal/result"
)

const (
	// topicMembers holds the list of entries, keyed by VM.
	topicMembers = "keyed.members"
	// membersInterval is the least time between two reads of the list. It is read at the start, and
	// again for what heartbeats cannot repair: two halves that never heard of each other.
	membersInterval = 20 * time.Second
)

// memberList is the list of entries as it was read.
type memberList struct {
	members []peering.Member
	// removals receives the members to remove from the list.
	removals chan []peering.Member
}

// maintainMembership lists this entry in the store, and learns of the other entries. Each entry
// writes before it reads: of two that start at the same time, at least one learns of the other, and
// its first heartbeat makes it known to the other. An entry that others have removed from the list,
// as after a long silence, adds itself again.
//
// In an outage of the store, an entry that is listed has no need to hurry, and one that is not knows
// the others by their heartbeats, so that the calls of all stay within storeRetriesPerSecond.
func (g *Gateway) maintainMembership(ctx context.Context) error {
	isListed := false
	wait := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
		written := isListed || g.writeSelf(ctx)
		members, read := g.readMembers(ctx)
		wait = g.repairInterval(g.membersInterval)
		if !written || !read {
			if !isListed {
				wait = g.maxStoreBackoff()
			}
			continue
		}
		isListed = false
		for _, m := range members {
			isListed = isListed || m == peering.Member{VM: g.settings.VM, IP: g.settings.IP}
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

// readMembers reads the list, passes it to the control goroutine, and removes the members that the
// control goroutine returns.
func (g *Gateway) readMembers(ctx context.Context) ([]peering.Member, bool) {
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	listing, err := g.store.ListNewest(readCtx, topicMembers)
	if err != nil {
		_ = level.Warn(g.logger).Log("msg", "The list of entries could not be read from the store; the read will be retried.", "err", err,
			"result", result.Label(api.ResultCode_LOG_UNAVAILABLE))
		return nil, false
	}
	list := memberList{removals: make(chan []peering.Member, 1)}
	for _, r := range listing.Records {
		if net.ParseIP(string(r.Value)) != nil {
			list.members = append(list.members, peering.Member{VM: r.Key, IP: string(r.Value)})
		}
	}
	select {
	case g.memberLists <- list:
	case <-ctx.Done():
		return nil, false
	}
	select {
	case removals := <-list.removals:
		g.removeMembers(ctx, removals)
		return list.members, true
	case <-ctx.Done():
		return nil, false
	}
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

// applyMembers adds the listed entries as peers, and returns those to remove from the list. Only
// the coordinator removes any, so that each is removed once.
func (c *control) applyMembers(list memberList, now time.Duration) {
	live := map[string]bool{c.g.settings.IP: true}
	for _, b := range c.peers.Live(now) {
		live[b.GetIp()] = true
	}
	for _, m := range list.members {
		c.peers.AddPeer(m.IP, now)
	}
	removals := c.memberPruner.SelectRemovals(list.members, live, now)
	if v := c.g.view.Load(); v == nil || !v.isCoordinator {
		removals = nil
	}
	list.removals <- removals
	c.membersKnown = true
}
