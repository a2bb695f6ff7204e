package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// LoadSpec says what a load is made of.
type LoadSpec struct {
	// Callers is the number of callers, each with one request at a time.
	Callers int
	// Pause is the wait between a caller's requests.
	Pause time.Duration
	// Tokens is the length of each streamed answer.
	Tokens int
	// Pushes makes each caller push prices in place of streaming completions.
	Pushes bool
	// Keep lets callers keep their connections.
	Keep bool
	// Patience bounds how long a caller tries one request; 0 means 20 s.
	Patience time.Duration
	Seed     uint64
}

// LoadResult is what all callers of a load saw.
type LoadResult struct {
	// Whole counts requests with a whole and right answer.
	Whole int
	// Refusals counts refusals by result name; the caller then tried again.
	Refusals map[string]int
	// Samples tell of the first refusals where and when.
	Samples []string
	// Cut lists answers that broke and connections that failed.
	Cut []string
	// Wrong lists answers whose text is not what the engine made.
	Wrong []string
	// Failed lists requests that were never answered whole.
	Failed []string
	// Outcomes are those of pushes.
	Outcomes []Outcome
	// Slowest is the longest time from first try to whole answer.
	Slowest time.Duration
}

// Load is a running load.
type Load struct {
	cluster *Cluster
	spec    LoadSpec
	stop    chan struct{}
	callers sync.WaitGroup

	mu     sync.Mutex
	result LoadResult
}

// maxSamples bounds the refusals told in full.
const maxSamples = 8

// StartLoad lets callers send requests until Stop.
func (c *Cluster) StartLoad(spec LoadSpec) *Load {
	if spec.Patience == 0 {
		spec.Patience = 20 * time.Second
	}
	l := &Load{cluster: c, spec: spec, stop: make(chan struct{})}
	l.result.Refusals = map[string]int{}
	for i := range spec.Callers {
		l.callers.Go(func() { l.call(i) })
	}
	return l
}

// Stop lets the callers end their last requests and returns what they saw.
func (l *Load) Stop() LoadResult {
	close(l.stop)
	l.callers.Wait()
	return l.result
}

// Whole returns the number of whole answers so far.
func (l *Load) Whole() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.result.Whole
}

// user is one caller of a load with the addresses it was told.
type user struct {
	*Caller
	load      *Load
	number    int
	random    *rand.Rand
	addresses AddressList
	asked     time.Time
}

func (l *Load) call(number int) {
	u := &user{load: l, number: number, random: rand.New(rand.NewPCG(l.spec.Seed, uint64(number)))}
	u.Caller = NewCaller(Key)
	if l.spec.Keep {
		u.Caller = NewKeepingCaller(Key)
	}
	for n := 0; !l.stopped(l.spec.Pause); n++ {
		u.request(n)
	}
}

// stopped waits between requests and returns true when the load is to end.
func (l *Load) stopped(wait time.Duration) bool {
	select {
	case <-l.stop:
		return true
	case <-time.After(wait):
	}
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// request sends one request until it is answered whole or patience ends.
func (u *user) request(n int) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), u.load.spec.Patience)
	defer cancel()
	name := fmt.Sprintf("caller %d request %d", u.number, n)
	if u.load.spec.Pushes {
		u.push(ctx, fmt.Sprintf("call-%d-%d-%d", u.load.spec.Seed, u.number, n))
		return
	}
	p := Prompt{Text: name, Seed: int64(u.load.spec.Seed), Tokens: u.load.spec.Tokens}
	var got Streamed
	for ctx.Err() == nil {
		err := u.try(ctx, p, &got)
		if got.Whole {
			u.load.whole(time.Since(begin))
			return
		}
		if err != nil {
			u.load.cut(name + ": " + err.Error())
			u.asked = time.Time{}
		}
		if got.Refused != nil && !retryable(got.Refused) {
			return // Told for good that this answer will not come.
		}
		waitRetry(ctx, got.Refused)
	}
	u.load.failed(name)
}

// try streams once; an error is something that a caller must not see.
func (u *user) try(ctx context.Context, p Prompt, got *Streamed) error {
	address, err := u.pick(ctx)
	if err != nil {
		return err
	}
	err = u.Stream(ctx, address, p, got, nil)
	if !strings.HasPrefix(p.Want(), got.Text) || got.Whole && got.Text != p.Want() {
		u.load.wrong(fmt.Sprintf("%s: %d bytes, whole %v, want %d: %q", p.Text, len(got.Text), got.Whole, len(p.Want()), got.Text))
	}
	if err != nil {
		return err
	}
	if got.Refused != nil {
		u.load.refused(got.Refused.Name, address)
		u.asked = time.Time{}
		if !retryable(got.Refused) {
			return errors.Errorf("%d %s %s", got.Refused.Code, got.Refused.Name, got.Refused.Message)
		}
		return nil
	}
	return nil
}

func (u *user) push(ctx context.Context, call string) {
	begin := time.Now()
	var addresses []string
	for _, m := range u.load.cluster.Entries {
		addresses = append(addresses, m.Public)
	}
	u.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	out := u.PushOnce(ctx, addresses, call, u.number%2 == 0)
	u.load.mu.Lock()
	defer u.load.mu.Unlock()
	u.load.result.Outcomes = append(u.load.result.Outcomes, out)
	if out.Ran == RanYes {
		u.load.result.Whole++
		u.load.result.Slowest = max(u.load.result.Slowest, time.Since(begin))
	}
}

// pick returns one of the addresses told, asking again when they are too old. It
// asks entries in random order, as a caller would that knows all of them by name.
func (u *user) pick(ctx context.Context) (string, error) {
	var err error
	keep := time.Duration(u.addresses.KeepMS) * time.Millisecond
	if time.Since(u.asked) > keep {
		for _, i := range u.random.Perm(len(u.load.cluster.Entries)) {
			asked := time.Now()
			var list AddressList
			list, err = u.Addresses(ctx, u.load.cluster.Entries[i].Public)
			if err == nil && len(list.Addresses) > 0 {
				u.addresses, u.asked = list, asked
				break
			}
		}
	}
	if len(u.addresses.Addresses) == 0 {
		return "", errors.Wrap(err, "no addresses")
	}
	sum := 0.0
	for _, a := range u.addresses.Addresses {
		sum += a.Weight
	}
	at := u.random.Float64() * sum
	for _, a := range u.addresses.Addresses {
		if at -= a.Weight; at < 0 {
			return a.Address, nil
		}
	}
	return u.addresses.Addresses[0].Address, nil
}

func (l *Load) whole(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Whole++
	l.result.Slowest = max(l.result.Slowest, took)
}

func (l *Load) cut(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Cut = append(l.result.Cut, what)
}

func (l *Load) wrong(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Wrong = append(l.result.Wrong, what)
}

func (l *Load) refused(name, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Refusals[name]++
	if len(l.result.Samples) < maxSamples {
		l.result.Samples = append(l.result.Samples, fmt.Sprintf("%s by %s at %s", name, address, time.Now().UTC().Format("15:04:05.000")))
	}
}

func (l *Load) failed(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Failed = append(l.result.Failed, name)
}
