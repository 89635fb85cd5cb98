package main

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"

	"larkrouter/internal/edge/scenario"
)

// scenarioCmd plays seeded scenarios of the platform's access node in virtual time.
type scenarioCmd struct {
	Seed     uint64 `default:"0" help:"First seed."`
	Count    uint64 `default:"1" help:"Number of seeds."`
	Dense    bool   `xor:"kind" help:"Play dense scenarios: replacements in a row, resets and many calls."`
	Stopping bool   `xor:"kind" help:"Play scenarios in which connections to call servers stop and stay open."`
}

func (c *scenarioCmd) Run() error {
	play := scenario.Run
	switch {
	case c.Dense:
		play = scenario.RunDense
	case c.Stopping:
		play = scenario.RunStopping
	}
	results := make([]*scenario.Result, c.Count)
	var next atomic.Uint64
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := next.Add(1) - 1; i < c.Count; i = next.Add(1) - 1 {
				results[i] = play(c.Seed + i)
			}
		})
	}
	workers.Wait()
	failed, calls := 0, 0
	for _, result := range results {
		calls += result.Calls
		if result.Faults > 0 {
			failed++
		}
		if result.Faults > 0 || c.Count == 1 {
			fmt.Println(result)
		}
	}
	fmt.Printf("%d scenarios, %d calls, faults in %d\n", c.Count, calls, failed)
	if failed > 0 {
		return errReported
	}
	return nil
}
