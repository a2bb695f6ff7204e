package gateway

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/bounded"
	"github.com/apricothub/apricothub/internal/result"
)

const (
	// maxHeartbeatBytes limits one heartbeat; a datagram cannot be larger.
	maxHeartbeatBytes = 64 << 10
	// statePath is the HTTP path at which an entry requests the records that another one holds of
	// the store.
	statePath = "/state"
	// queryOperators and queryServers name the query parameters with the offsets up to which the
	// requesting entry has read the two topics.
	queryOperators = "operators"
	queryServers   = "servers"
	// stateTimeout limits the time of such a request.
	stateTimeout = time.Second
	// maxStateResponses limits the answers to such requests at a time. All records of thousands of servers
	// fill the link of a small VM for a while; an entry that is refused asks another one, and soon there
	// are many that know.
	maxStateResponses = 8
	// minCompressedState is the size in bytes from which on an answer is compressed. Registrations of
	// hundreds of servers shrink to a sixth, which is what a small VM can send to many entries at once.
	minCompressedState = 8 << 10
	// maxStateBytes limits the size of its answer: a configuration of hundreds of routes and
	// registrations of thousands of servers.
	maxStateBytes = 16 << 20
)

// sendHeartbeat sends a heartbeat to other entries. Lost heartbeats need no retry: the next one
// carries the whole state again.
func (g *Gateway) sendHeartbeat(b *api.PeerBeat, ips []string, isFar func(ip string) bool) {
	data, err := proto.Marshal(b)
	if err != nil || len(data) > maxHeartbeatBytes {
		_ = level.Error(g.logger).Log("msg", "A heartbeat cannot be encoded or is too large, and is not sent.", "bytes", len(data), "err", err,
			"result", result.Label(api.ResultCode_INTERNAL))
		return
	}
	for _, ip := range ips {
		addr, err := netip.ParseAddr(ip)
		if err != nil {
			continue
		}
		g.metrics.heartbeats.Inc(1)
		g.metrics.heartbeatBytes.Inc(int64(len(data)))
		if isFar(ip) {
			g.metrics.farHeartbeatBytes.Inc(int64(len(data)))
		}
		// An error means that the VM is unreachable, which its missing heartbeats show as well.
		_, _ = g.socket.WriteToUDPAddrPort(data, netip.AddrPortFrom(addr, uint16(g.settings.PeerPort)))
	}
}

// receiveHeartbeats passes the heartbeats of other entries to the control goroutine.
func (g *Gateway) receiveHeartbeats(ctx context.Context) error {
	buf := make([]byte, maxHeartbeatBytes)
	for {
		n, _, err := g.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return errors.Wrap(err, "receive heartbeats")
		}
		b := &api.PeerBeat{}
		if err := proto.Unmarshal(buf[:n], b); err != nil {
			_ = level.Warn(g.logger).Log("msg", "A heartbeat from another entry could not be decoded and is ignored.", "bytes", n, "err", err,
				"result", result.Label(api.ResultCode_BAD_REQUEST))
			continue
		}
		select {
		case g.heartbeats <- b:
		default:
			// The control goroutine is behind; the next heartbeat carries the same state, newer.
		}
	}
}

// serveState answers another entry with the records that this one holds of the store.
func (g *Gateway) serveState(w http.ResponseWriter, r *http.Request) {
	select {
	case g.stateSlots <- struct{}{}:
		defer func() { <-g.stateSlots }()
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	req := stateRequest{
		operators: parseOffset(query.Get(queryOperators)), servers: parseOffset(query.Get(queryServers)),
		reply: make(chan *api.PeerState, 1),
	}
	select {
	case g.stateRequests <- req:
	case <-r.Context().Done():
		return
	}
	data, err := proto.Marshal(<-req.reply)
	if err != nil {
		result.WriteHTTP(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/protobuf")
	if len(data) >= minCompressedState && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		data = compress(data)
	}
	g.metrics.recordBytes.Inc(int64(len(data)))
	_, _ = w.Write(data)
}

// compress returns data in gzip format.
func compress(data []byte) []byte {
	var compressed bytes.Buffer
	// Neither writing to a buffer nor this level can fail.
	z, _ := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	_, _ = z.Write(data)
	_ = z.Close()
	return compressed.Bytes()
}

// stateRequest asks the control goroutine for the records beyond the offsets that another entry has
// read up to.
type stateRequest struct {
	operators, servers int64
	reply              chan *api.PeerState
}

// parseOffset parses an offset. An invalid one counts as zero, so that all records are sent.
func parseOffset(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// fetchState asks another entry for the records that it holds of the store.
func (g *Gateway) fetchState(ip string, operators, servers int64) {
	state, err := g.requestState(ip, operators, servers)
	select {
	case g.fetchedStates <- fetchedState{from: ip, state: state, err: err}:
	case <-g.stopped:
	}
}

func (g *Gateway) requestState(ip string, operators, servers int64) (*api.PeerState, error) {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?%s=%d&%s=%d", g.peerAddress(ip), statePath, queryOperators, operators, queryServers, servers)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "request peer state")
	}
	resp, err := g.peerClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "request peer state")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("request peer state: status %d", resp.StatusCode)
	}
	data, err := bounded.ReadAll(resp.Body, maxStateBytes, "the state of another entry")
	if err != nil {
		return nil, errors.Wrap(err, "request peer state")
	}
	state := &api.PeerState{}
	if err := proto.Unmarshal(data, state); err != nil {
		return nil, errors.Wrap(err, "request peer state")
	}
	return state, nil
}

func (g *Gateway) peerAddress(ip string) string {
	addr, err := netip.ParseAddr(ip)
	if err != nil {
		return ip
	}
	return netip.AddrPortFrom(addr, uint16(g.settings.PeerPort)).String()
}
