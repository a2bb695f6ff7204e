package peering

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

// maxNewsAge is the age up to which digests pass on what heartbeats tell of backend servers and prompts.
// Each relay tells what is older in its own heartbeats, in turn.
const maxNewsAge = 2 * time.Second

// hasLoadChanged reports whether the requests of an entry have changed.
func hasLoadChanged(old, b *api.PeerBeat) bool {
	return !slices.Equal(old.GetInFlight(), b.GetInFlight()) || len(old.GetLoads())+len(b.GetLoads()) > 0 ||
		!equalMessages(old.GetDemands(), b.GetDemands())
}

// hasStateChanged reports whether anything else has changed that digests pass on.
func hasStateChanged(old, b *api.PeerBeat) bool {
	return old.GetIncarnation() != b.GetIncarnation() || old.GetServing() != b.GetServing() || IsUrgent(old, b) ||
		old.GetSuccessor() != b.GetSuccessor() || old.GetMembersKnown() != b.GetMembersKnown() ||
		old.GetOperatorsChanged() != b.GetOperatorsChanged() || old.GetServersChanged() != b.GetServersChanged() ||
		old.GetOperatorsAgeMs() != b.GetOperatorsAgeMs() || old.GetServersAgeMs() != b.GetServersAgeMs() || hasNews(b)
}

func hasNews(b *api.PeerBeat) bool {
	return len(newsOf(b.GetRateLimits()))+len(newsOf(b.GetEnds()))+len(newsOf(b.GetProofs()))+len(newsOf(b.GetQuarantines())) > 0
}

// newsOf returns the reports that are not older than maxNewsAge.
func newsOf[T interface{ GetAgeMs() uint32 }](reports []T) []T {
	var news []T
	for _, r := range reports {
		if time.Duration(r.GetAgeMs())*time.Millisecond <= maxNewsAge {
			news = append(news, r)
		}
	}
	return news
}

func equalMessages[T proto.Message](a, b []T) bool {
	return slices.EqualFunc(a, b, func(x, y T) bool { return proto.Equal(x, y) })
}

// recordOf returns what digests tell of a peer to those that know its changes up to a version of the
// Table.
func recordOf(p *peer, known uint64) *api.PeerBeat {
	b := p.lastHeartbeat
	r := &api.PeerBeat{Sequence: b.GetSequence(), InFlight: InFlight(b), Demands: b.GetDemands()}
	if r.Ipv4 = packIP(p.ip); r.GetIpv4() == 0 {
		r.Ip = p.ip
	}
	if since := uint32(b.GetIncarnation()); p.stateVersion <= known && since != 0 {
		r.UnchangedSince = since
		return r
	}
	copyState(r, b)
	r.RateLimits, r.Ends, r.Proofs, r.Quarantines = newsOf(b.GetRateLimits()), newsOf(b.GetEnds()), newsOf(b.GetProofs()), newsOf(b.GetQuarantines())
	// A negative number takes ten bytes.
	r.OperatorsAgeMs, r.ServersAgeMs = b.GetOperatorsAgeMs()+1, b.GetServersAgeMs()+1
	return r
}

// copyState copies all that is not load or news.
func copyState(to, from *api.PeerBeat) {
	to.Vm, to.FailureDomain, to.CallersAddress, to.Capacity = from.GetVm(), from.GetFailureDomain(), from.GetCallersAddress(), from.GetCapacity()
	to.Incarnation, to.Serving, to.Leaving, to.MembersKnown = from.GetIncarnation(), from.GetServing(), from.GetLeaving(), from.GetMembersKnown()
	to.ReadsDigests = from.GetReadsDigests()
	to.Fence, to.Successor, to.Paces = from.GetFence(), from.GetSuccessor(), from.GetPaces()
	to.OperatorsChanged, to.ServersChanged = from.GetOperatorsChanged(), from.GetServersChanged()
	to.OperatorsAgeMs, to.ServersAgeMs = from.GetOperatorsAgeMs(), from.GetServersAgeMs()
}

// heartbeatOf returns the heartbeat that a record stands for, or nil for a record of changes to a
// heartbeat that this entry does not know.
func (t *Table) heartbeatOf(r *api.PeerBeat) *api.PeerBeat {
	ip := r.GetIp()
	if n := r.GetIpv4(); n != 0 {
		ip = unpackIP(n)
	}
	if r.GetUnchangedSince() == 0 {
		r.Ip, r.Ipv4 = ip, 0
		r.OperatorsAgeMs, r.ServersAgeMs = r.GetOperatorsAgeMs()-1, r.GetServersAgeMs()-1
		return r
	}
	old := t.LastHeartbeat(ip)
	if uint32(old.GetIncarnation()) != r.GetUnchangedSince() {
		return nil
	}
	b := &api.PeerBeat{Ip: ip, Sequence: r.GetSequence(), InFlight: r.GetInFlight(), Demands: r.GetDemands()}
	copyState(b, old)
	return b
}
