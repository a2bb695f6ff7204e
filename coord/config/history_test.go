package config_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/internal/history"
)

// Three operators race to change one list. Each reads the list from a member that lags, publishes a
// change of what it read, and learns the verdict from another member. In any order, the list must
// behave as one versioned register. The seed is fixed.
func TestRacingPublishersSeeOneVersionedRegister(t *testing.T) {
	const (
		rounds        = 120
		catchUpRounds = 3 // rounds after which every member has caught up
		lag           = 40 * time.Millisecond
		members       = 4
	)
	random := rand.New(rand.NewPCG(6, 1))
	var log [][]byte
	folds := make([]*config.Fold, members)
	for i := range folds {
		folds[i] = config.NewFold()
	}
	catchUp := func(member, end int) {
		for f := folds[member]; f.Applied()+1 < int64(end); {
			if err := f.Apply(f.Applied()+1, log[f.Applied()+1]); err != nil {
				t.Fatal(err)
			}
		}
	}
	var h history.History
	for round := range rounds {
		now := time.Duration(round) * lag
		base := folds[random.IntN(members)].View().ListOffset(api.ListName_LIST_USES)
		for operator := range 1 + random.IntN(3) {
			id := fmt.Sprintf("c%d-%d", round, operator)
			log = append(log, change(t, id, base))
			reader := random.IntN(members)
			catchUp(reader, len(log))
			verdict, _ := folds[reader].Verdict(id)
			outcome := history.Conflict
			if verdict.GetAccepted() {
				outcome = history.Accepted
			}
			h.Publishes = append(h.Publishes, history.Publish{
				Client: operator, Call: now, Return: now + lag/2, Base: base, Outcome: outcome, Offset: verdict.GetCurrent(),
			})
		}
		for i, fold := range folds {
			if random.IntN(2) == 0 || (round+i)%catchUpRounds == 0 {
				catchUp(i, len(log))
			}
			at := now + lag*3/4
			h.Reads = append(h.Reads, history.Read{Process: i, Call: at, Return: at, Offset: fold.View().ListOffset(api.ListName_LIST_USES)})
		}
	}
	if err := h.Check((catchUpRounds+1)*lag, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	h.Publishes[rounds/2].Offset++
	if err := h.Check((catchUpRounds+1)*lag, 10*time.Second); !errors.Is(err, history.ErrIllegal) {
		t.Errorf("a history with one altered verdict was accepted: %v", err)
	}
}

func change(t *testing.T, id string, base int64) []byte {
	plan := &api.Section{Name: "plan gold", Body: &api.Section_Plan{Plan: &api.Plan{Share: 1}}}
	list := &api.ListChange{List: api.ListName_LIST_USES, Base: base, Set: []*api.Section{plan}}
	data, err := proto.Marshal(&api.Record{ChangeId: id, Body: &api.Record_List{List: list}})
	if err != nil {
		t.Fatal(err)
	}
	return data
}
