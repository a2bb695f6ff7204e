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

// LoadSpec describes a load.
type LoadSpec struct {
	// Callers is the number of callers, each of which sends one request at a time.
	Callers int
	// Pause is the time between two requests of a caller.
	Pause time.Duration
	// Tokens is the length of each streamed answer in tokens.
	Tokens int
	// Pushes makes the callers push prices instead of streaming completions.
	Pushes bool
	// KeepAlive lets callers reuse their connections.
	KeepAlive bool
	// RequestTimeout limits how long a caller retries one request; 0 means 20 s.
	RequestTimeout time.Duration
	Seed           uint64
}

// LoadResult is what all callers of a load observed.
type LoadResult struct {
	// Whole counts requests with a complete and correct answer.
	Whole int
	// Refusals counts refusals by result name, including those that the caller retried.
	Refusals map[string]int
	// RefusalSamples lists the address and time of the first refusals.
	RefusalSamples []string
	// Cut lists answers that broke off, failed connections and refusals that forbid a retry.
	Cut []string
	// Wrong lists answers whose text differs from what the engine generates.
	Wrong []string
	// Failed lists requests without a complete answer within RequestTimeout.
	Failed []string
	// Outcomes are the outcomes of pushes.
	Outcomes []Outcome
	// Slowest is the longest time from the first attempt to a complete answer.
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

// maxSamples limits RefusalSamples.
const maxSamples = 8

// StartLoad starts callers that send requests until Stop.
func (c *Cluster) StartLoad(spec LoadSpec) *Load {
	if spec.RequestTimeout == 0 {
		spec.RequestTimeout = 20 * time.Second
	}
	l := &Load{cluster: c, spec: spec, stop: make(chan struct{})}
	l.result.Refusals = map[string]int{}
	for i := range spec.Callers {
		l.callers.Go(func() { l.runCaller(i) })
	}
	return l
}

// Stop waits until the callers have finished their current requests and returns the result.
func (l *Load) Stop() LoadResult {
	close(l.stop)
	l.callers.Wait()
	return l.result
}

// Whole returns the number of complete answers so far.
func (l *Load) Whole() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.result.Whole
}

// loadCaller is one caller of a load, with the address list that it fetched.
type loadCaller struct {
	*Caller
	load      *Load
	index     int
	random    *rand.Rand
	addresses AddressList
	fetchedAt time.Time
}

func (l *Load) runCaller(index int) {
	c := &loadCaller{load: l, index: index, random: rand.New(rand.NewPCG(l.spec.Seed, uint64(index)))}
	c.Caller = NewCaller(Key)
	if l.spec.KeepAlive {
		c.Caller = NewKeepAliveCaller(Key)
	}
	for n := 0; !l.waitOrStopped(l.spec.Pause); n++ {
		c.request(n)
	}
}

// waitOrStopped waits between two requests; it returns true once Stop has been called.
func (l *Load) waitOrStopped(wait time.Duration) bool {
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

// request retries one request until it has a complete answer, a final refusal or a timeout.
func (c *loadCaller) request(n int) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), c.load.spec.RequestTimeout)
	defer cancel()
	name := fmt.Sprintf("caller %d request %d", c.index, n)
	if c.load.spec.Pushes {
		c.push(ctx, fmt.Sprintf("call-%d-%d-%d", c.load.spec.Seed, c.index, n))
		return
	}
	p := Prompt{Text: name, Seed: int64(c.load.spec.Seed), Tokens: c.load.spec.Tokens}
	var got Streamed
	for ctx.Err() == nil {
		err := c.streamOnce(ctx, p, &got)
		if got.Whole {
			c.load.recordWhole(time.Since(begin))
			return
		}
		if err != nil {
			c.load.recordCut(name + ": " + err.Error())
			c.fetchedAt = time.Time{}
		}
		if got.Refused != nil && !retryable(got.Refused) {
			return // The refusal is final.
		}
		waitBackoff(ctx, got.Refused)
	}
	c.load.recordFailed(name)
}

// streamOnce makes one attempt. It returns an error for failures that callers must not see.
func (c *loadCaller) streamOnce(ctx context.Context, p Prompt, got *Streamed) error {
	address, err := c.pickAddress(ctx)
	if err != nil {
		return err
	}
	err = c.Stream(ctx, address, p, got, nil)
	if !strings.HasPrefix(p.Want(), got.Text) || got.Whole && got.Text != p.Want() {
		c.load.recordWrong(fmt.Sprintf("%s: %d bytes, whole %v, want %d: %q", p.Text, len(got.Text), got.Whole, len(p.Want()), got.Text))
	}
	if err != nil {
		return err
	}
	if got.Refused != nil {
		c.load.recordRefusal(got.Refused.Name, address)
		c.fetchedAt = time.Time{}
		if !retryable(got.Refused) {
			return errors.Errorf("%d %s %s", got.Refused.Code, got.Refused.Name, got.Refused.Message)
		}
		return nil
	}
	return nil
}

func (c *loadCaller) push(ctx context.Context, call string) {
	begin := time.Now()
	var addresses []string
	for _, m := range c.load.cluster.Entries {
		addresses = append(addresses, m.Public)
	}
	c.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	outcome := c.PushWithTicket(ctx, addresses, call, c.index%2 == 0)
	c.load.mu.Lock()
	defer c.load.mu.Unlock()
	c.load.result.Outcomes = append(c.load.result.Outcomes, outcome)
	if outcome.Ran == RanYes {
		c.load.result.Whole++
		c.load.result.Slowest = max(c.load.result.Slowest, time.Since(begin))
	}
}

// pickAddress returns a random address from the fetched list, by weight, and fetches the list anew
// once it has expired. It asks the entries in random order, like a caller that resolves one DNS
// name to all of them.
func (c *loadCaller) pickAddress(ctx context.Context) (string, error) {
	var err error
	keep := time.Duration(c.addresses.KeepMS) * time.Millisecond
	if time.Since(c.fetchedAt) > keep {
		for _, i := range c.random.Perm(len(c.load.cluster.Entries)) {
			fetchedAt := time.Now()
			var list AddressList
			list, err = c.Addresses(ctx, c.load.cluster.Entries[i].Public)
			if err == nil && len(list.Addresses) > 0 {
				c.addresses, c.fetchedAt = list, fetchedAt
				break
			}
		}
	}
	if len(c.addresses.Addresses) == 0 {
		return "", errors.Wrap(err, "no entry returned an address list")
	}
	sum := 0.0
	for _, a := range c.addresses.Addresses {
		sum += a.Weight
	}
	point := c.random.Float64() * sum
	for _, a := range c.addresses.Addresses {
		if point -= a.Weight; point < 0 {
			return a.Address, nil
		}
	}
	return c.addresses.Addresses[0].Address, nil
}

func (l *Load) recordWhole(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Whole++
	l.result.Slowest = max(l.result.Slowest, took)
}

func (l *Load) recordCut(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Cut = append(l.result.Cut, what)
}

func (l *Load) recordWrong(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Wrong = append(l.result.Wrong, what)
}

func (l *Load) recordRefusal(name, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Refusals[name]++
	if len(l.result.RefusalSamples) < maxSamples {
		l.result.RefusalSamples = append(l.result.RefusalSamples, fmt.Sprintf("%s by %s at %s", name, address, time.Now().UTC().Format("15:04:05.000")))
	}
}

func (l *Load) recordFailed(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Failed = append(l.result.Failed, name)
}
