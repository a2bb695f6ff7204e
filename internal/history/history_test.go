package history

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-faster/errors"
)

func TestCheck(t *testing.T) {
	const ms = time.Millisecond
	pub := func(call, ret time.Duration, base int64, outcome Outcome, offset int64) Publish {
		return Publish{Call: call * ms, Return: ret * ms, Base: base, Outcome: outcome, Offset: offset}
	}
	read := func(process int, call, ret time.Duration, offset int64) Read {
		return Read{Process: process, Call: call * ms, Return: ret * ms, Offset: offset}
	}
	for _, test := range []struct {
		name      string
		publishes []Publish
		reads     []Read
		legal     bool
	}{
		{"nothing", nil, []Read{read(1, 0, 1, NeverPublished)}, true},
		{
			"one winner, one conflict",
			[]Publish{pub(0, 9, NeverPublished, Accepted, 3), pub(0, 9, NeverPublished, Conflict, 3)},
			[]Read{read(1, 1, 2, NeverPublished), read(1, 3, 4, 3)},
			true,
		},
		{"two winners", []Publish{pub(0, 9, NeverPublished, Accepted, 3), pub(0, 9, NeverPublished, Accepted, 4)}, nil, false},
		{"conflict with nobody", []Publish{pub(0, 9, NeverPublished, Conflict, 3)}, nil, false},
		{"conflict with its own base", []Publish{pub(0, 1, NeverPublished, Accepted, 3), pub(2, 3, 3, Conflict, 3)}, nil, false},
		{"stale read within the bound", []Publish{pub(0, 10, NeverPublished, Accepted, 3)}, []Read{read(1, 14, 15, NeverPublished)}, true},
		{"stale read past the bound", []Publish{pub(0, 10, NeverPublished, Accepted, 3)}, []Read{read(1, 16, 17, NeverPublished)}, false},
		{"read of what nobody published", nil, []Read{read(1, 0, 1, 7)}, false},
		{"process goes back", []Publish{pub(0, 9, NeverPublished, Accepted, 3)}, []Read{read(1, 1, 2, 3), read(1, 4, 5, NeverPublished)}, false},
		{
			"unknown, found accepted later",
			[]Publish{pub(0, 1, NeverPublished, Unknown, 0), pub(50, 51, 3, Accepted, 4)},
			[]Read{read(1, 40, 41, 3)},
			true,
		},
		{"unknown, found not accepted", []Publish{pub(0, 1, NeverPublished, Unknown, 0), pub(50, 51, NeverPublished, Accepted, 4)}, nil, true},
		{
			"unknown, both accepted and not",
			[]Publish{pub(0, 1, NeverPublished, Unknown, 0), pub(50, 51, NeverPublished, Accepted, 4)},
			[]Read{read(1, 40, 41, 3)},
			false,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := History{Publishes: test.publishes, Reads: test.reads}
			err := h.Check(5*ms, time.Second)
			if (err == nil) != test.legal || err != nil && !errors.Is(err, ErrIllegal) {
				t.Errorf("got %v, want legal %v", err, test.legal)
			}
		})
	}
}

// Guards against a check that passes because it leaves out reads: with all observations and with the decisive
// ones only, the outcome must be the same.
func TestDecisiveObservationsDecideAsAllDo(t *testing.T) {
	const histories = 3000
	rng := rand.New(rand.NewPCG(7, 7))
	legal := 0
	for range histories {
		h := randomHistory(rng)
		all := h.observations(3 * time.Millisecond)
		want := porcupine.CheckOperations(registerModel(), h.operations(all))
		got := porcupine.CheckOperations(registerModel(), h.operations(decisive(all)))
		if got != want {
			t.Fatalf("legal by all observations: %v, by the decisive ones: %v: %+v", want, got, h)
		}
		if want {
			legal++
		}
	}
	if legal < histories/10 || legal > histories*9/10 {
		t.Errorf("%d of %d histories are legal: the test proves little", legal, histories)
	}
}

// randomHistory returns a history of a register that changes every few milliseconds, in which some times are
// wrong.
func randomHistory(rng *rand.Rand) *History {
	h := &History{}
	at := func(from, to int) time.Duration { return time.Duration(from+rng.IntN(to-from+1)) * time.Millisecond }
	base, begin := NeverPublished, 0
	for offset := int64(3); offset < 9; offset += 2 {
		end := begin + 2 + rng.IntN(5)
		p := Publish{Call: at(end-2, end), Return: at(end, end+2), Base: base, Outcome: Accepted, Offset: offset}
		if rng.IntN(4) == 0 {
			p.Outcome = Unknown
		}
		h.Publishes = append(h.Publishes, p)
		for range rng.IntN(4) {
			call := at(begin-1, end+4)
			h.Reads = append(h.Reads, Read{Call: call, Return: call + at(0, 2), Offset: base})
		}
		if rng.IntN(3) == 0 {
			call := at(begin, end)
			h.Publishes = append(h.Publishes, Publish{Call: call, Return: call + at(0, 2), Base: base - 1, Outcome: Conflict, Offset: base})
		}
		base, begin = offset, end
	}
	return h
}

// Guards against a search that is not decided within a test: with many reads that may be stale for seconds,
// nearly all operations overlap.
func TestManyOverlappingReadsAreDecided(t *testing.T) {
	const limit = 30 * time.Second
	check := func(h *History) porcupine.CheckResult {
		return porcupine.CheckOperationsTimeout(registerModel(), h.operations(decisive(h.observations(5*time.Second))), limit)
	}
	for seed := range uint64(20) {
		if got := check(concurrentHistory(rand.New(rand.NewPCG(seed, 1)))); got != porcupine.Ok {
			t.Errorf("seed %d: a legal history is %s", seed, got)
		}
	}
	// To refute a history takes a search through all orders, which is short for these.
	for _, seed := range []uint64{6, 12, 16, 17} {
		h := concurrentHistory(rand.New(rand.NewPCG(seed, 1)))
		middle := h.Publishes[len(h.Publishes)/2]
		h.Publishes = append(h.Publishes, Publish{Call: middle.Call, Return: middle.Return, Base: middle.Base, Outcome: Accepted, Offset: 1 << 20})
		if got := check(h); got != porcupine.Illegal {
			t.Errorf("seed %d: a history with a change on an outdated base is %s", seed, got)
		}
	}
}

// concurrentHistory returns a legal history of three operators who publish at once, some of whom get no outcome,
// and of six processes that read versions as much as a second late.
func concurrentHistory(rng *rand.Rand) *History {
	const (
		operators = 3
		processes = 6
		length    = 9 * time.Second
	)
	random := func(limit time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(limit))) }
	h := &History{}
	base, at := NeverPublished, time.Duration(0)
	for offset := int64(0); at < length; offset++ {
		at += 50*time.Millisecond + random(300*time.Millisecond)
		p := Publish{Call: at - random(200*time.Millisecond), Return: at + random(200*time.Millisecond), Base: base, Outcome: Accepted, Offset: offset}
		if rng.IntN(6) == 0 {
			p.Outcome, p.Return = Unknown, p.Call+2*time.Second
		}
		h.Publishes = append(h.Publishes, p)
		for range rng.IntN(operators) {
			loser := Publish{Call: at, Return: at + random(200*time.Millisecond), Base: base, Outcome: Conflict, Offset: offset}
			if rng.IntN(4) == 0 {
				loser.Outcome, loser.Return = Unknown, loser.Call+2*time.Second
			}
			h.Publishes = append(h.Publishes, loser)
		}
		for p := range processes {
			first := at + random(time.Second)
			for _, call := range []time.Duration{first, first + random(300*time.Millisecond)} {
				h.Reads = append(h.Reads, Read{Process: p, Call: call, Return: call + random(20*time.Millisecond), Offset: offset})
			}
		}
		base = offset
	}
	return h
}
