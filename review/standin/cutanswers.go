package main

import (
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// spotNotice is the time from the notice to a worker until it is gone, and replacementDelay the time from then
	// until others come. Before that, the store removes what has written nothing for three heartbeats.
	spotNotice       = 2 * time.Second
	replacementDelay = 4 * time.Second
	// roundPause is the time between a replacement and the next notice.
	roundPause = 2 * time.Second
	// unframedPlaces is the number of places whose workers send some answers without a length.
	unframedPlaces = 9
)

// cutAnswers: four of sixteen workers are told to leave, and are gone two seconds later; others come four seconds
// after that. That happens three times. At nine of the sixteen places, one answer in 20 has no length and ends with
// its connection.
func cutAnswers(f *fleet) ([]string, error) {
	var err error
	if f.store, err = newStore(f.newIP()); err != nil {
		return nil, err
	}
	const count, leaving, rounds = 16, 4, 3
	workers := make([]*spotWorker, count)
	for i := range workers {
		if workers[i], err = f.startSpotWorker(i, i); err != nil {
			return nil, err
		}
	}
	f.configure(1)
	if err := f.startGateways(gatewayCount); err != nil {
		return nil, err
	}
	begin := time.Now().Add(settleTime)
	replaced := make(chan error, 1)
	go func() {
		time.Sleep(time.Until(begin))
		for round := 0; f.trouble && round < rounds; round++ {
			if err := f.replace(workers[round*leaving:(round+1)*leaving], count+round*leaving); err != nil {
				replaced <- err
				return
			}
			time.Sleep(roundPause)
		}
		replaced <- nil
	}()
	var n atomic.Int64
	answers := f.run(load{callers: 170, pause: 100 * time.Millisecond, until: begin.Add(28 * time.Second), next: func() request {
		if n.Add(1)%4 == 0 {
			return request{"POST", "/push/1?pieces=40&ms=75", 4 * time.Second}
		}
		return request{"POST", "/draft/1?pieces=60&ms=75", 8 * time.Second}
	}})
	err = <-replaced
	for i := range count + rounds*leaving {
		f.collect(spotName(i))
	}
	return mixed(answers), err
}

// spotWorker is a worker that may be taken away.
type spotWorker struct {
	name  string
	place int
	*process
}

func spotName(n int) string { return fmt.Sprintf("i-%d", n+1) }

// startSpotWorker starts the n-th worker, at a place.
func (f *fleet) startSpotWorker(n, place int) (*spotWorker, error) {
	var flags []string
	if place < unframedPlaces {
		flags = []string{"-unframed-every", "20"}
	}
	p, err := f.startWorker(spotName(n), []string{"zone-a", "zone-b"}[place%2], flags...)
	return &spotWorker{spotName(n), place, p}, err
}

// replace takes workers away after a notice, and starts others in their place, the first of them as the n-th. With
// NOTICE=0 they are not told.
func (f *fleet) replace(workers []*spotWorker, n int) error {
	for _, w := range workers {
		if os.Getenv("NOTICE") != "0" {
			f.note("the platform tells worker %s to leave", w.name)
			w.signal(syscall.SIGTERM)
		}
	}
	time.Sleep(spotNotice)
	for _, w := range workers {
		w.signal(syscall.SIGKILL)
		f.note("worker %s is gone", w.name)
	}
	time.Sleep(3 * heartbeatInterval)
	for _, w := range workers {
		f.store.put("keyed.servers", keyedRecord{w.name, nil})
	}
	time.Sleep(replacementDelay - 3*heartbeatInterval)
	for i := range workers {
		var err error
		if workers[i], err = f.startSpotWorker(n+i, workers[i].place); err != nil {
			return err
		}
	}
	return nil
}
