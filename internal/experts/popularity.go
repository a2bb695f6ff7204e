package experts

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/result"
)

// topicPopularity holds, for each group by its name, the popularity of its experts as the coordinator
// last recorded it. After a loss of power there is nobody else who knows it.
const topicPopularity = "keyed.popularity"

// maxWeight is the recorded weight of the most popular expert of a set of layers.
const maxWeight = math.MaxUint8

// popularityRecord is a group's popularity to be written to the store.
type popularityRecord struct {
	group string
	value []byte
}

// encodePopularity returns the record of a popularity, given as fractions of all tokens.
func encodePopularity(popularity [][]float64) ([]byte, error) {
	record := &api.ExpertPopularity{}
	for _, set := range popularity {
		most := slices.Max(set)
		weights := make([]byte, len(set))
		for expert, fraction := range set {
			weights[expert] = byte(math.Round(maxWeight * fraction / most))
		}
		record.Sets = append(record.Sets, weights)
	}
	return proto.Marshal(record)
}

// decodePopularity returns the weights of a record, by set of layers.
func decodePopularity(value []byte) ([][]float64, error) {
	record := &api.ExpertPopularity{}
	if err := proto.Unmarshal(value, record); err != nil {
		return nil, errors.Wrap(err, "decode popularity")
	}
	var popularity [][]float64
	for _, weights := range record.GetSets() {
		set := make([]float64, len(weights))
		for expert, weight := range weights {
			set[expert] = float64(weight)
		}
		popularity = append(popularity, set)
	}
	return popularity, nil
}

// startReadingPopularity reads the recorded popularity of all groups, to be taken with
// takePopularity. The coordinator does not wait for it.
func (c *Coordinator) startReadingPopularity(ctx context.Context) {
	read := make(chan map[string][][]float64, 1)
	c.popularityRead = read
	go func() {
		ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
		defer cancel()
		listing, err := c.store.ListNewest(ctx, topicPopularity)
		if err != nil {
			_ = level.Warn(c.logger).Log("msg", "The recorded popularity of experts could not be read. Maps are planned once it is observed.",
				"err", err, "result", result.Label(api.ResultCode_LOG_UNAVAILABLE))
			return
		}
		byGroup := make(map[string][][]float64)
		for _, record := range listing.Records {
			popularity, err := decodePopularity(record.Value)
			if err != nil {
				_ = level.Warn(c.logger).Log("msg", "A recorded popularity of experts is not readable and is ignored.", "group", record.Key,
					"err", err, "result", result.Label(api.ResultCode_LOG_UNAVAILABLE))
				continue
			}
			byGroup[record.Key] = popularity
		}
		read <- byGroup
	}()
}

// takePopularity takes what startReadingPopularity has read, if it has ended.
func (c *Coordinator) takePopularity() {
	select {
	case c.recordedPopularity = <-c.popularityRead:
		_ = level.Info(c.logger).Log("msg", "The recorded popularity of experts was read.", "fence", c.fence.Load())
	default:
	}
}

// recordPopularity writes the popularity of the group's experts to the store if it has changed. One
// record is written at a time, and the coordinator does not wait for it.
func (g *group) recordPopularity(ctx context.Context, now time.Duration) {
	select {
	case err := <-g.recordWritten:
		g.isRecording = false
		if err != nil {
			g.recorder.Forget()
		}
	default:
	}
	if g.isRecording || !g.recorder.Due(g.planner, now) {
		return
	}
	value, err := encodePopularity(g.planner.Popularity())
	if err != nil {
		_ = level.Error(g.c.logger).Log("msg", "The popularity of experts could not be encoded.", "group", g.name, "err", err,
			"result", result.Label(api.ResultCode_INTERNAL))
		return
	}
	g.isRecording = true
	go g.c.writePopularity(ctx, popularityRecord{g.name, value}, g.recordWritten)
}

// writePopularity writes a record and sends the outcome.
func (c *Coordinator) writePopularity(ctx context.Context, record popularityRecord, written chan<- error) {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	_, err := c.store.Put(ctx, topicPopularity, record.group, record.value)
	if err != nil {
		_ = level.Warn(c.logger).Log("msg", "The popularity of experts could not be recorded. The next coordinator has to observe it.",
			"group", record.group, "err", err, "result", result.Label(api.ResultCode_LOG_UNAVAILABLE))
	}
	written <- err
}
