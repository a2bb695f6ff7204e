package main

import (
	"bytes"
	"fmt"
	"time"

	"github.com/wcharczuk/go-chart/v2"

	"github.com/apricothub/apricothub/decide/loadtest"
)

// The time span of a run that the plot shows.
const (
	plotFrom  = leaveAt - 10*time.Second
	plotUntil = afterUntil - 20*time.Second
)

// plotDomains returns an SVG plot of the answers in time per second while a failure domain is
// marked out and in again.
func plotDomains() string {
	graph := chart.Chart{
		Width:      900,
		Height:     400,
		Background: chart.Style{Padding: chart.Box{Top: 60, Left: 20, Right: 20, Bottom: 10}},
		XAxis:      chart.XAxis{Name: "second; the failure domain is out from 80 to 110", ValueFormatter: chart.IntValueFormatter},
		YAxis:      chart.YAxis{Name: "answers in time a second", ValueFormatter: chart.IntValueFormatter, Range: &chart.ContinuousRange{Min: 0, Max: 160}},
	}
	for _, p := range []loadtest.Policy{loadtest.CurrentPolicy(), loadtest.FullShareOnReturnPolicy(), loadtest.RoundRobinPolicy(), loadtest.LeastConnectionsPolicy()} {
		graph.Series = append(graph.Series, goodputSeries(p))
	}
	graph.Elements = []chart.Renderable{chart.LegendThin(&graph)}
	var svg bytes.Buffer
	if err := graph.Render(chart.SVG, &svg); err != nil {
		panic(fmt.Sprintf("render plot: %v", err))
	}
	return svg.String()
}

// goodputSeries simulates a departure and returns the answers in time per second, averaged over 2
// s.
func goodputSeries(p loadtest.Policy) chart.ContinuousSeries {
	r := simulateDeparture(p, loadLevels[0], departures[0], seeds[0])
	line := chart.ContinuousSeries{Name: p.Name, Style: chart.Style{StrokeWidth: 2}}
	const window = 2 * time.Second
	for at := plotFrom; at < plotUntil; at += time.Second {
		line.XValues = append(line.XValues, at.Seconds())
		line.YValues = append(line.YValues, r.Goodput(at-window/2, at+window/2))
	}
	return line
}
