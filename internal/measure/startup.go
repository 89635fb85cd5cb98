package measure

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"text/tabwriter"
	"time"

	"larkrouter/internal/daemon"
	"larkrouter/internal/sip"
	"larkrouter/internal/standin"
)

// StartupResult describes how a node handled a burst of calls just after its start and once it is warm.
type StartupResult struct {
	Program                   string
	JustStarted, Warm, Warm50 Burst
	StartTime                 time.Duration // from starting the process until it serves
	BurstCalls, WarmStanding  int
}

// Burst holds the outcome of a number of calls.
type Burst struct {
	Calls, Stood, Refused, Late int
	Median, P99                 time.Duration
	Elapsed                     time.Duration
}

// startupAim is the aim (target set-up time) of the class in these measurements; a longer set-up counts as late.
const startupAim = time.Second

// RunStartup starts a node with one idle server that answers within a millisecond. As soon as the node serves, a number of
// concurrent callers place calls, each one after another. Two seconds later the burst is repeated, followed by one with fifty
// concurrent callers.
func RunStartup(ctx context.Context, program string, callers, calls int) (StartupResult, error) {
	result := StartupResult{Program: program, BurstCalls: calls}
	env := newEnvironment(ctx)
	defer env.shutdown()
	serverLoop, serverAddr, err := env.openLoop()
	if err != nil {
		return result, err
	}
	serverLoop.Actor = standin.NewCallServer(standin.ServerConfig{Seed: 1, Address: serverAddr})
	env.runLoop(serverLoop)
	nodeAddr, err := daemon.FreeLoopbackAddress()
	if err != nil {
		return result, err
	}
	nodeConfig := fmt.Sprintf("[listen]\nudp = %q\n[[class]]\nname = \"voice\"\naim = \"1s\"\ndeadline = \"9s\"\nworth = 1.0\n"+
		"[[server]]\nid = 1\nnumber = 0\naddress = %q\n", nodeAddr, serverAddr)
	started := time.Now()
	if _, err := env.startNode(program, nodeConfig, 2*time.Millisecond); err != nil {
		return result, err
	}
	result.StartTime = time.Since(started)
	runBurst := func(callers, calls int) (Burst, error) {
		loop, address, err := env.openLoop()
		if err != nil {
			return Burst{}, err
		}
		load := standin.NewLoad(standin.LoadConfig{Seed: uint64(address.Port()), Address: address, Node: sip.Peer{Addr: nodeAddr},
			Callers: callers,
			Calls:   calls})
		elapsed, err := env.runLoad(loop, load, calls, time.Minute)
		if err != nil {
			return Burst{}, err
		}
		burst := Burst{Calls: calls, Stood: load.Answered, Refused: load.Failed, Median: quantile(load, 50), P99: quantile(load, 99),
			Elapsed: elapsed}
		for _, bar := range load.SetUpTimes.Distribution() {
			if bar.From > startupAim.Microseconds() {
				burst.Late += int(bar.Count)
			}
		}
		return burst, nil
	}
	if result.JustStarted, err = runBurst(callers, calls); err != nil {
		return result, err
	}
	time.Sleep(2 * time.Second)
	if result.Warm, err = runBurst(callers, calls); err != nil {
		return result, err
	}
	result.Warm50, err = runBurst(50, 5*calls)
	return result, err
}

// PrintStartup writes a table with the bursts of each program: just started, warm, and warm with fifty callers.
func PrintStartup(w io.Writer, results []StartupResult) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "program\tserves after\tcalls\tstood\trefused\tlate\tmedian\tp99\ttook\t")
	for _, result := range results {
		for _, burst := range []struct {
			label string
			Burst
		}{{"just started", result.JustStarted}, {"warm", result.Warm}, {"warm, 50 concurrent", result.Warm50}} {
			fmt.Fprintf(table, "%s, %s\t%v\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t\n", filepath.Base(result.Program), burst.label,
				result.StartTime.Round(time.Millisecond), burst.Calls, burst.Stood,
				burst.Refused, burst.Late, burst.Median.Round(10*time.Microsecond), burst.P99.Round(10*time.Microsecond),
				burst.Elapsed.Round(time.Millisecond))
		}
	}
	return table.Flush()
}
