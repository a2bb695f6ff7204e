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
	// membersEach is the time between two reads of the members. They are read at the start,
	// and again for what beats cannot heal: two halves that never heard of each other.
	membersEach = 20 * time.Second
)

// roster is the list of members as it was read.
type roster struct {
	names []peering.Member
	// gone takes the names to take off the list.
	gone chan []peering.Member
}

// meet makes this entry known to the others through the store, and learns of them. Each
// writes before it reads: of two that start at the same time one at least learns of the
// other, and the first beat makes both known. One whose name others have taken off the list,
// as after a long silence, writes it again.
func (g *Gateway) meet(ctx context.Context) error {
	listed := false
	wait := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
		written := listed || g.writeMember(ctx)
		names, read := g.readMembers(ctx)
		wait = g.meetEach
		if !written || !read {
			wait = retryMost
			continue
		}
		listed = false
		for _, n := range names {
			listed = listed || n == peering.Member{VM: g.settings.VM, IP: g.settings.IP}
		}
	}
}

func (g *Gateway) writeMember(ctx context.Context) bool {
	if err := g.putMember(ctx, peering.Member{VM: g.settings.VM, IP: g.settings.IP}); err != nil {
		_ = level.Warn(g.logger).Log("msg", "The store did not take this entry's name.", "err", err,
			"result", result.Label(api.ResultCode_LOG_UNAVAILABLE))
		return false
	}
	return true
}

// putMember writes a name; one without an IP is taken off the list.
func (g *Gateway) putMember(ctx context.Context, n peering.Member) error {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	_, err := g.store.Put(ctx, topicMembers, n.VM, []byte(n.IP))
	return err
}

// readMembers reads the list, has the control goroutine learn it, and takes off it what that
// says.
func (g *Gateway) readMembers(ctx context.Context) ([]peering.Member, bool) {
	readCtx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	listing, err := g.store.Newest(readCtx, topicMembers)
	if err != nil {
		_ = level.Warn(g.logger).Log("msg", "The store did not tell the entries' names.", "err", err,
			"result", result.Label(api.ResultCode_LOG_UNAVAILABLE))
		return nil, false
	}
	read := roster{gone: make(chan []peering.Member, 1)}
	for _, r := range listing.Records {
		if net.ParseIP(string(r.Value)) != nil {
			read.names = append(read.names, peering.Member{VM: r.Key, IP: string(r.Value)})
		}
	}
	select {
	case g.rosters <- read:
	case <-ctx.Done():
		return nil, false
	}
	select {
	case gone := <-read.gone:
		g.takeOff(ctx, gone)
		return read.names, true
	case <-ctx.Done():
		return nil, false
	}
}

// takeOff takes names off the list. What fails is tried again at the next read.
func (g *Gateway) takeOff(ctx context.Context, gone []peering.Member) {
	for _, n := range gone {
		if err := g.putMember(ctx, peering.Member{VM: n.VM}); err != nil {
			_ = level.Warn(g.logger).Log("msg", "The name of an entry that is gone stays in the list.", "vm", n.VM, "err", err,
				"result", result.Label(api.ResultCode_LOG_UNAVAILABLE))
			return
		}
		_ = level.Info(g.logger).Log("msg", "The name of an entry that is gone was taken off the list.", "vm", n.VM, "ip", n.IP)
	}
}

// takeRoster learns the entries of the list, and returns those to take off it: only the entry
// that coordinates takes any off, so that each name is taken off once.
func (c *control) takeRoster(read roster, now time.Duration) {
	live := map[string]bool{c.g.settings.IP: true}
	for _, b := range c.peers.Live(now) {
		live[b.GetIp()] = true
	}
	for _, n := range read.names {
		c.peers.AddPeer(n.IP, now)
	}
	gone := c.roll.SelectRemovals(read.names, live, now)
	if v := c.g.view.Load(); v == nil || !v.coordinates {
		gone = nil
	}
	read.gone <- gone
	c.met = true
}
