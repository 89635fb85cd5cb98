// Package measure measures the performance of the program: a node in a process of its own serves a steady load on loopback,
// with simulated call servers that do no work. It reports the CPU time and memory that the operating system accounts to the
// node.
package measure

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/gosnmp/gosnmp"

	"larkrouter/internal/daemon"
	"larkrouter/internal/sip"
	"larkrouter/internal/standin"
)

// Options holds the parameters of a measurement.
type Options struct {
	Program     string  // the larkrouter executable
	TCP         bool    // callers and servers use TCP instead of UDP
	Rate        float64 // calls per second
	Standing    int     // number of calls that stand at the same time
	Calls       int     // number of calls to place
	ExtraConfig string  // appended to the node's configuration, TOML
	WalkMIB     bool    // an SNMP manager walks the node's MIB continuously
	Profile     string  // file for a CPU profile of the node; empty: none
}

// serverCount is the number of simulated call servers.
const serverCount = 8

// Result holds the measured values.
type Result struct {
	Stood, Failed  int
	CallsPerSecond float64
	CPUPerCall     time.Duration // CPU time of the node per call
	Median, P99    time.Duration // set-up time through the node
	DirectMedian   time.Duration // set-up time directly at a server
	DirectP99      time.Duration
	PeakMemory     int64 // bytes
	Walks, Rows    int   // walks completed by the SNMP manager, and total rows read
}

// Run measures set-up times directly at a server, then through a node, and the resources that the node uses.
func Run(ctx context.Context, opts Options) (Result, error) {
	var result Result
	env := newEnvironment(ctx)
	defer env.shutdown()
	callTransport, transportName := sip.UDP, "udp"
	if opts.TCP {
		callTransport, transportName = sip.TCP, "tcp"
	}
	var serverTables strings.Builder
	var firstServer netip.AddrPort
	for i := range serverCount {
		loop, address, err := env.openLoop()
		if err != nil {
			return result, err
		}
		loop.Actor = standin.NewCallServer(standin.ServerConfig{Seed: uint64(i), Address: address})
		env.runLoop(loop)
		if i == 0 {
			firstServer = address
		}
		fmt.Fprintf(&serverTables, "[[server]]\nid = %d\nnumber = %d\naddress = %q\ntransport = %q\n", i+1, i, address, transportName)
	}
	runLoad := func(to netip.AddrPort, calls int) (*standin.Load, time.Duration, error) {
		loop, address, err := env.openLoop()
		if err != nil {
			return nil, 0, err
		}
		load := standin.NewLoad(standin.LoadConfig{Seed: uint64(address.Port()), Address: address, Node: sip.Peer{Transport: callTransport,
			Addr: to},
			Rate: opts.Rate, HoldTime: time.Duration(float64(opts.Standing) / opts.Rate * float64(time.Second)), Calls: calls})
		elapsed, err := env.runLoad(loop, load, calls, time.Duration(float64(calls+opts.Standing)/opts.Rate*float64(time.Second))+90*time.Second)
		return load, elapsed, err
	}
	direct, _, err := runLoad(firstServer, min(opts.Calls, 2000))
	if err != nil {
		return result, fmt.Errorf("measuring directly at a server: %w", err)
	}
	result.DirectMedian, result.DirectP99 = quantile(direct, 50), quantile(direct, 99)

	nodeAddr, err := daemon.FreeLoopbackAddress()
	if err != nil {
		return result, err
	}
	var agentAddr netip.AddrPort
	if opts.WalkMIB {
		if agentAddr, err = daemon.FreeLoopbackAddress(); err != nil {
			return result, err
		}
		opts.ExtraConfig += fmt.Sprintf("\n[snmp]\nlisten = %q\n[[snmp.community]]\nname = \"measure\"\n", agentAddr)
	}
	nodeConfig := fmt.Sprintf("[listen]\nudp = %q\ntcp = %q\n[log]\nlevel = \"info\"\n[[class]]\nname = \"voice\"\naim = \"1s\"\n"+
		"deadline = \"9s\"\nworth = 1.0\n%s%s",
		nodeAddr, nodeAddr, serverTables.String(), opts.ExtraConfig)
	var args []string
	if opts.Profile != "" {
		args = append(args, "--cpu-profile", opts.Profile)
	}
	process, err := env.startNode(opts.Program, nodeConfig, 5*time.Millisecond, args...)
	if err != nil {
		return result, err
	}
	if _, _, err := runLoad(nodeAddr, min(1000, opts.Calls)); err != nil { // warm up
		return result, err
	}
	stopWalker := func() {}
	if opts.WalkMIB {
		stopWalker = startWalker(env.ctx, agentAddr, &result)
	}
	before, _ := cpuTime(process.Pid())
	load, elapsed, err := runLoad(nodeAddr, opts.Calls)
	after, _ := cpuTime(process.Pid())
	stopWalker()
	if err != nil {
		return result, fmt.Errorf("measuring through the node: %w", err)
	}
	result.PeakMemory = peakMemory(process.Pid())
	result.Stood, result.Failed = load.Answered, load.Failed
	result.CallsPerSecond = float64(opts.Calls) / elapsed.Seconds()
	result.CPUPerCall = (after - before) / time.Duration(opts.Calls)
	result.Median, result.P99 = quantile(load, 50), quantile(load, 99)
	process.Signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond) // time for the node to write the profile
	return result, nil
}

// startWalker walks an agent's MIB continuously until the function that it returns is called.
func startWalker(ctx context.Context, agentAddr netip.AddrPort, result *Result) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		client := &gosnmp.GoSNMP{Target: agentAddr.Addr().String(), Port: agentAddr.Port(), Version: gosnmp.Version2c, Community: "measure",
			Timeout: time.Second, Retries: 1, MaxOids: gosnmp.MaxOids, MaxRepetitions: 25, Context: ctx}
		if client.Connect() != nil {
			return
		}
		defer client.Close()
		for ctx.Err() == nil {
			if client.BulkWalk("1.3", func(gosnmp.SnmpPDU) error { result.Rows++; return nil }) == nil {
				result.Walks++
			}
		}
	}()
	return func() { cancel(); <-done }
}

// quantile returns a percentile of the load's set-up times.
func quantile(load *standin.Load, percentile float64) time.Duration {
	return time.Duration(load.SetUpTimes.ValueAtQuantile(percentile)) * time.Microsecond
}

// cpuTime returns the user and system CPU time that a process has used so far (proc(5), clock ticks of 10 ms).
func cpuTime(pid int) (time.Duration, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("/proc/%d/stat has %d fields, want at least 13", pid, len(fields))
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	sys, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+sys) * 10 * time.Millisecond, nil
}

// peakMemory returns the peak resident memory of a process in bytes (VmHWM), or 0 if it can't be read.
func peakMemory(pid int) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(content), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// Print writes the result as a table.
func (r Result) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "calls stood, failed\t%d, %d\n", r.Stood, r.Failed)
	fmt.Fprintf(table, "calls per second\t%.0f\n", r.CallsPerSecond)
	fmt.Fprintf(table, "CPU time of the node per call\t%.3f ms\n", float64(r.CPUPerCall.Microseconds())/1000)
	fmt.Fprintf(table, "set-up time through the node, median and 99th percentile\t%.2f ms, %.2f ms\n", milliseconds(r.Median),
		milliseconds(r.P99))
	fmt.Fprintf(table, "set-up time directly at a server\t%.2f ms, %.2f ms\n", milliseconds(r.DirectMedian), milliseconds(r.DirectP99))
	fmt.Fprintf(table, "added by the node\t%.2f ms, %.2f ms\n", milliseconds(r.Median-r.DirectMedian), milliseconds(r.P99-r.DirectP99))
	if r.Walks > 0 {
		fmt.Fprintf(table, "MIB walks, rows in total\t%d, %d\n", r.Walks, r.Rows)
	}
	fmt.Fprintf(table, "peak memory of the node\t%.1f MB\n", float64(r.PeakMemory)/1e6)
	return table.Flush()
}

// milliseconds converts a duration to milliseconds with microsecond precision.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
