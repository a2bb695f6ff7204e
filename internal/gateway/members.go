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
	// topicMembers holds the entries, each under the name of its VM.
	topicMembers = "keyed.members"
	// membersInterval is the time between two reads of the members. They are read at the start,
	// and again for what beats cannot heal: two halves that never heard of each other.
	membersInterval = 20 * time.Second
)

// memberList is the list of members as it was read.
type memberList struct {
	members []peering.Member
	// removals takes the names to take off the list.
	removals chan []peering.Member
}

// maintainMembership makes this entry known to the others through the store, and learns of them. Each
// writes before it reads: of two that start at the same time one at least learns of the
// other, and the first beat makes both known. One whose name others have taken off the list,
// as after a long silence, writes it again.
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
		wait = g.membersInterval
		if !written || !read {
			wait = maxRetryInterval
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
		_ = level.Warn(g.logger).Log("msg", "The store did not take this entry's name.", "err", err,
			"result", result.Label(api.ResultCode_LOG_UNAVAILABLE))
		return false
	}
	return true
}

// putMember writes a name; one without an IP is taken off the list.
func (g *Gateway) putMember(ctx context.Context, m peering.Member) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := g.store.Put(ctx, topicMembers, m.VM, []byte(m.IP))
	return err
}

// readMembers reads the list, has the control goroutine learn it, and takes off it what that
// says.
func (g *Gateway) readMembers(ctx context.Context) ([]peering.Member, bool) {
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	listing, err := g.store.Newest(readCtx, topicMembers)
	if err != nil {
		_ = level.Warn(g.logger).Log("msg", "The store did not tell the entries' names.", "err", err,
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

// removeMembers takes names off the list. What fails is tried again at the next read.
func (g *Gateway) removeMembers(ctx context.Context, removals []peering.Member) {
	for _, m := range removals {
		if err := g.putMember(ctx, peering.Member{VM: m.VM}); err != nil {
			_ = level.Warn(g.logger).Log("msg", "The name of an entry that is gone stays in the list.", "vm", m.VM, "err", err,
				"result", result.Label(api.ResultCode_LOG_UNAVAILABLE))
			return
		}
		_ = level.Info(g.logger).Log("msg", "The name of an entry that is gone was taken off the list.", "vm", m.VM, "ip", m.IP)
	}
}

// applyMembers learns the entries of the list, and returns those to take off it: only the entry
// that coordinates takes any off, so that each name is taken off once.
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
