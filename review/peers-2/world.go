// Package peers plays the cases of the second review. It starts access nodes as the deploy file says, and plays their platform on
// loopback: callers, call servers and the command channel. It uses none of the project's packages.
package peers

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// slack is what the protocol page adds to every limit.
const slack = 50 * time.Millisecond

// maxRun is the time after which a case that has not ended counts as not run.
const maxRun = 112 * time.Second

// world is what a case plays in.
type world struct {
	dir       string // temporary folder
	hasFault  bool   // false with TROUBLE=0
	startedAt time.Time
	mu        sync.Mutex
	record    *bufio.Writer
	broken    []string
	nodes     []*node
}

// logf writes a line to record.txt.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// breakf records that the rule was broken.
func (w *world) breakf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.logf("BROKEN %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

// notRun ends a case that cannot be played.
type notRun struct{ cause string }

func (w *world) fail(format string, args ...any) { panic(notRun{fmt.Sprintf(format, args...)}) }

// sleepUntil waits until a time of the case's clock.
func (w *world) sleepUntil(at time.Duration) { time.Sleep(time.Until(w.startedAt.Add(at))) }

func (w *world) now() time.Duration { return time.Since(w.startedAt) }

// end ends all processes that were started.
func (w *world) end() {
	w.mu.Lock()
	nodes := slices.Clone(w.nodes)
	w.mu.Unlock()
	for _, n := range nodes {
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
	w.mu.Lock()
	w.record.Flush()
	w.mu.Unlock()
	os.RemoveAll(w.dir)
}

// cases are the plays by their names.
var cases = map[string]func(*world){}

// Main plays a case and returns the exit code of its program, which gets the folder for record.txt as its only argument.
func Main(name string) (code int) {
	if len(os.Args) != 2 {
		fmt.Fprintf(os.Stderr, "usage: %s FOLDER\n", os.Args[0])
		return exitNotRun
	}
	folder, play := os.Args[1], cases[name]
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w := &world{dir: dir, hasFault: os.Getenv("TROUBLE") != "0", startedAt: time.Now(), record: bufio.NewWriter(file)}
	defer w.end()
	w.logf("case %s, disruption %v, started at %s", name, w.hasFault, w.startedAt.UTC().Format(time.RFC3339))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	done := make(chan any, 1)
	go func() {
		defer func() { done <- recover() }()
		play(w)
	}()
	var cause any
	select {
	case cause = <-done:
	case <-time.After(maxRun):
		cause = notRun{"out of time"}
	case sig := <-signals:
		cause = notRun{sig.String()}
	}
	if cause != nil {
		w.logf("NOT RUN %v", cause)
		fmt.Println("could not run:", cause)
		return exitNotRun
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.broken) > 0 {
		fmt.Printf("rule broken %d times, first: %s\n", len(w.broken), w.broken[0])
		return exitBroken
	}
	fmt.Println("rule held")
	return exitHeld
}

// settings are those of a small deployment. change replaces values by their path, as in "allowed.connIdleUs".
func settings(classes []map[string]any, change map[string]any) map[string]any {
	pools, widths := [][]int{}, []float64{}
	for range classes {
		pools, widths = append(pools, []int{0, 1}), append(widths, 1)
	}
	s := map[string]any{
		"allowed": map[string]any{"cancel": true, "connIdleUs": 600000000, "connectTimeoutUs": 500000, "cpuUsPerRequest": 0.0,
			"cpuUsPerS": 300000, "maxAttempts": 4, "maxRetryAfterUs": 2000000, "maxStreams": 1048576, "mayProbe": false,
			"openCap": 20000, "peers": false, "retryAfter": true, "secondCopies": false},
		"classes": classes, "clients": map[string]any{"marksRetry": true}, "discovery": "push",
		"extra": map[string]any{"advice": false, "allowedPools": pools, "homeNo": -1, "releaseGuardUs": 500000,
			"remoteLoad": "piggyback", "retransmitUs": 400000, "shape": "pools", "tellsWait": false, "widths": widths},
		"groupSize": 4, "hostTypes": []string{"standard-1core"}, "myZone": 0, "overShareWorth": 0.1,
		"penalties": map[string]any{"lateFail": 0.03, "waste": 0.02}, "rank": 0,
		"report": map[string]any{"fields": []string{"free", "size", "lat_ms"}, "how": "piggyback"},
		"rules": map[string]any{"answerSlackUs": 20000, "askWithinUs": 10000000, "coldShare": 0.3, "drainGraceUs": 1000000,
			"overloadForUs": 2000000, "rampTimeUs": 13000000, "tipMultiple": 2.0},
		"serviceType": "trunks", "tenants": []any{}, "tickUs": 5000, "tier": 0, "tiers": []string{"transfer-servers"},
		"weights": "silent", "worthBy": "request", "zones": []string{"zone-1"}}
	for path, value := range change {
		group, name, _ := strings.Cut(path, ".")
		s[group].(map[string]any)[name] = value
	}
	return s
}

// class is a class of call. repeat is read_like or non_idempotent.
func class(name string, aimMS, deadlineMS int, points float64, repeat string) map[string]any {
	return map[string]any{"name": name, "promiseUs": aimMS * 1000, "deadlineUs": deadlineMS * 1000, "points": points,
		"lateShare": 0.25, "repeat": repeat, "dedupScope": "all", "windowUs": 5000000, "stream": true}
}

// node is an access node in a process of its own.
type node struct {
	w      *world
	name   string
	listen string
	cmd    *exec.Cmd
	exited chan struct{}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// startNode starts an access node by the deploy file's run command and waits until it has passed a test.
func (w *world) startNode(name, listen, channel string, known []string, s map[string]any) *node {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		w.fail("%v", err)
	}
	command := runLine.FindSubmatch(deploy)
	if command == nil {
		w.fail("deploy/balancer.toml has no run")
	}
	cmds := []json.RawMessage{}
	for _, event := range known {
		cmds = append(cmds, json.RawMessage(event))
	}
	config, err := json.Marshal(map[string]any{"name": name, "listen": listen, "seed": "8c1f30d27a5be964",
		"limits":  map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"channel": channel, "known": map[string]any{"cursor": len(known), "cmds": cmds}, "settings": s})
	if err != nil {
		w.fail("%v", err)
	}
	path := filepath.Join(w.dir, name+".json")
	tmp := filepath.Join(w.dir, fmt.Sprintf("%s-tmp-%d", name, len(w.nodes)))
	logFile, err := os.Create(filepath.Join(w.dir, fmt.Sprintf("%s-%d.log", name, len(w.nodes))))
	if err = errors.Join(err, os.WriteFile(path, config, 0o600), os.Mkdir(tmp, 0o700)); err != nil {
		w.fail("%v", err)
	}
	defer logFile.Close()
	n := &node{w: w, name: name, listen: listen, cmd: exec.Command("/bin/sh", "-c", string(command[1])), exited: make(chan struct{})}
	n.cmd.Env = append(os.Environ(), "EDGE_NAME="+name, "EDGE_LISTEN="+listen, "EDGE_CONFIG="+path, "TMPDIR="+tmp)
	n.cmd.Stdout, n.cmd.Stderr = logFile, logFile
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the node ends with a driver that is killed outright
	if err := n.cmd.Start(); err != nil {
		w.fail("starting a node: %v", err)
	}
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	go func() {
		_ = n.cmd.Wait()
		w.logf("node %s has ended: %v", name, n.cmd.ProcessState)
		close(n.exited)
	}()
	w.logf("node %s started on %s", name, listen)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if passesTest(listen) {
			w.logf("node %s has passed a test", name)
			return n
		}
	}
	w.fail("node %s is not ready", name)
	return nil
}

func passesTest(addr string) bool {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(conn, "OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 00000000000000aa\r\nCSeq: 1 OPTIONS\r\n"+
		"Content-Length: 0\r\n\r\n")
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && strings.HasPrefix(line, "SIP/2.0 200")
}

// signal sends a signal to a node that has not ended.
func (n *node) signal(sig syscall.Signal) {
	select {
	case <-n.exited:
	default:
		n.w.logf("node %s gets %v", n.name, sig)
		_ = n.cmd.Process.Signal(sig)
	}
}

// freeAddr returns a free loopback address.
func (w *world) freeAddr() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fail("%v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// waitFor waits until a condition holds. If it does not hold in time, the case cannot be played.
func (w *world) waitFor(limit time.Duration, what string, holds func() bool) {
	for end := time.Now().Add(limit); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			w.fail("waited %v in vain for %s", limit, what)
		}
	}
}

// numberOf returns the number called of the i-th call.
func numberOf(i int) string { return fmt.Sprintf("7f3a9c21e0b4%04x", i) }
