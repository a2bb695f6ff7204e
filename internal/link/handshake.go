package link

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
)

// Sides of a handshake. The side is part of the signed data, so that a proof cannot be reflected to
// its sender.
const (
	dialer   = "dialer"
	listener = "listener"
)

const nonceSize = 32

// ErrWrongKey means that the peer does not hold the shared link key.
var ErrWrongKey = errors.New("the peer does not hold the link key")

// handshake proves to each side that the other holds the key, then exchanges hellos. Nothing about
// this process is revealed before the proof.
func handshake(control *Stream, cfg Config, side string) (*api.Hello, error) {
	own := make([]byte, nonceSize)
	if _, err := rand.Read(own); err != nil {
		return nil, err
	}
	theirs, err := exchangeNonces(control, own)
	if err != nil {
		return nil, err
	}
	if err := exchangeProofs(control, cfg, side, own, theirs); err != nil {
		return nil, err
	}
	return exchangeHellos(control, cfg.Self)
}

func exchangeNonces(control *Stream, own []byte) ([]byte, error) {
	challenge := &api.Control{Body: &api.Control_Challenge{Challenge: &api.Challenge{Nonce: own}}}
	if err := control.Send(challenge); err != nil {
		return nil, err
	}
	m := &api.Control{}
	if err := control.receive(m, maxHandshakeBytes); err != nil {
		return nil, err
	}
	theirs := m.GetChallenge().GetNonce()
	if len(theirs) != nonceSize {
		return nil, errors.New("the peer did not send a valid challenge")
	}
	return theirs, nil
}

func exchangeProofs(control *Stream, cfg Config, side string, own, theirs []byte) error {
	proof := &api.Proof{Mac: proofMAC(cfg.Key, side, own, theirs)}
	if err := control.Send(&api.Control{Body: &api.Control_Proof{Proof: proof}}); err != nil {
		return err
	}
	m := &api.Control{}
	if err := control.receive(m, maxHandshakeBytes); err != nil {
		return err
	}
	other := listener
	if side == listener {
		other = dialer
	}
	if !verifyProof(m.GetProof().GetMac(), cfg, other, theirs, own) {
		return ErrWrongKey
	}
	return nil
}

// verifyProof reports whether a proof was made with one of the accepted keys. An empty OtherKey is
// not accepted: anyone can make a proof with the empty key.
func verifyProof(mac []byte, cfg Config, side string, first, second []byte) bool {
	if hmac.Equal(mac, proofMAC(cfg.Key, side, first, second)) {
		return true
	}
	return len(cfg.OtherKey) > 0 && hmac.Equal(mac, proofMAC(cfg.OtherKey, side, first, second))
}

func exchangeHellos(control *Stream, self *api.Hello) (*api.Hello, error) {
	if err := control.Send(&api.Control{Body: &api.Control_Hello{Hello: self}}); err != nil {
		return nil, err
	}
	m := &api.Control{}
	if err := control.receive(m, maxHandshakeBytes); err != nil {
		return nil, err
	}
	peer := m.GetHello()
	if peer.GetVm() == "" || peer.GetIncarnation() == "" {
		return nil, errors.New("the hello of the peer lacks its VM or incarnation")
	}
	return peer, nil
}

func proofMAC(key []byte, side string, first, second []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte("apricothub link 1 " + side))
	mac.Write(first)
	mac.Write(second)
	return mac.Sum(nil)
}
