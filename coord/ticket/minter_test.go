package ticket

import (
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
)

func TestMintStopsAtEndOfBlock(t *testing.T) {
	l, m := newLedgerAndMinter(testLimits)
	if m.NeedsBlock(0, testVM) {
		t.Fatal("a block is needed although one is full")
	}
	seen := map[uint32]bool{}
	for range testLimits.BlockSize {
		seen[mint(t, m, 0).GetSeq()] = true
	}
	if len(seen) != int(testLimits.BlockSize) {
		t.Fatalf("%d different tickets, want %d", len(seen), testLimits.BlockSize)
	}
	if _, ok := m.Mint(0, testVM, testCustomer); ok || !m.NeedsBlock(0, testVM) {
		t.Fatal("minted past the end of the block, or no block is needed")
	}
	m.Add(0, l.Grant(0))
	if tk := mint(t, m, 0); tk.GetBlock() != 1 {
		t.Fatalf("block = %d, want the new one", tk.GetBlock())
	}
}

// A caller needs time to use its ticket, so minting must stop at half the block's lifetime,
// and the next block must be requested before that.
func TestMintStopsAtHalfLifetime(t *testing.T) {
	_, m := newLedgerAndMinter(testLimits)
	if m.NeedsBlock(20*time.Second, testVM) || !m.NeedsBlock(25*time.Second, testVM) {
		t.Fatal("a block must be needed in the last quarter of the time for minting, and not before")
	}
	mint(t, m, 29*time.Second)
	if _, ok := m.Mint(30*time.Second, testVM, testCustomer); ok {
		t.Fatal("minted in the second half of the lifetime")
	}
}

// A block arrives twice, the second time after its tickets are used up. If the minter minted
// from it again, two callers would hold the same ticket and share one answer.
func TestAddIgnoresDuplicateBlock(t *testing.T) {
	l := NewLedger(testVM, "i1", testKey, testLimits)
	m := NewMinter()
	b := l.Grant(0)
	m.Add(0, b)
	for range testLimits.BlockSize {
		mint(t, m, 0)
	}
	m.Add(0, b)
	if _, ok := m.Mint(0, testVM, testCustomer); ok {
		t.Fatal("minted from the same block twice")
	}
}

// A block of a replaced incarnation arrives after a block of its successor. Its tickets could
// only end with an unknown outcome, so the minter must ignore it.
func TestAddIgnoresReplacedIncarnation(t *testing.T) {
	old, m := newLedgerAndMinter(testLimits)
	delayed := old.Grant(0)
	m.Add(0, NewLedger(testVM, "i2", []byte("k2"), testLimits).Grant(0))
	m.Add(0, delayed)
	if tk := mint(t, m, 0); tk.GetIncarnation() != "i2" {
		t.Fatalf("incarnation = %q, want i2", tk.GetIncarnation())
	}
	m.Drop(testVM)
	m.Add(0, delayed)
	if _, ok := m.Mint(0, testVM, testCustomer); ok {
		t.Fatal("minted for an incarnation that was replaced")
	}
}

func TestAddIgnoresEmpty(t *testing.T) {
	m := NewMinter()
	m.Add(0, nil)
	m.Add(0, &api.TicketBlock{})
	m.Drop("unknown")
	if _, ok := m.Mint(0, "", testCustomer); ok || !m.NeedsBlock(0, testVM) {
		t.Fatal("an empty block was added")
	}
}

func TestEncodeRoundTrip(t *testing.T) {
	l, m := newLedgerAndMinter(testLimits)
	text := Encode(mint(t, m, 0))
	tk, err := Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	wantDecision(t, l.Begin(0, tk, testCustomer, push, "a1"), Run, 0, 0)
}

func TestDecodeRefuses(t *testing.T) {
	_, m := newLedgerAndMinter(testLimits)
	good := Encode(mint(t, m, 0))
	for _, text := range []string{
		"", "t1.", "t2." + good[3:], good[:len(good)-4], good + "=", good + "\n", " " + good, "t1.AAAA", good + good,
		Encode(&api.Ticket{}), Encode(nil),
	} {
		if tk, err := Decode(text); err == nil {
			t.Errorf("Decode(%q) = %v, want an error", text, tk)
		}
	}
}

func FuzzDecode(f *testing.F) {
	l := NewLedger(testVM, "i1", testKey, testLimits)
	m := NewMinter()
	m.Add(0, l.Grant(0))
	tk, _ := m.Mint(0, testVM, testCustomer)
	f.Add(Encode(tk))
	f.Add("t1.")
	f.Add("t1.CgR2bS1h")
	f.Add("not a ticket")
	f.Fuzz(func(t *testing.T, text string) {
		decoded, err := Decode(text)
		if err != nil {
			return
		}
		reencoded, err := Decode(Encode(decoded))
		if err != nil || Encode(reencoded) != Encode(decoded) {
			t.Fatalf("%q does not survive encoding and decoding: %v", text, err)
		}
		l := NewLedger(testVM, "i1", []byte("another key"), testLimits)
		l.Grant(0)
		if d := l.Begin(0, decoded, testCustomer, push, "a1"); d.Action != Refuse {
			t.Fatalf("a ticket made with another key was accepted: %+v", d)
		}
	})
}
