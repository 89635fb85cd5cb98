package platform

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Settings returns the settings object of a small deployment of bergvik-transfers, as the wire's page shows it.
func Settings(nodes, servers, rank int) string {
	pools := ""
	for i := range servers {
		pools += fmt.Sprintf(",%d", i)
	}
	pools = "[" + pools[1:] + "]"
	return fmt.Sprintf(`{"allowed":{"cancel":true,"connIdleUs":600000000,"connectTimeoutUs":500000,"cpuUsPerRequest":0.0,"cpuUsPerS":300000,
	"maxAttempts":4,"maxRetryAfterUs":2000000,"maxStreams":1048576,"mayProbe":false,"openCap":20000,"peers":false,"retryAfter":true,
	"secondCopies":false},
	"classes":[{"deadlineUs":9000000,"dedupScope":"all","lateShare":0.25,"name":"balance-check","points":1.0,"promiseUs":1200000,
	"repeat":"read_like","stream":true,"windowUs":5000000},{"deadlineUs":6000000,"dedupScope":"all","lateShare":0.25,
	"name":"cutoff-transfer","points":8.0,"promiseUs":1000000,"repeat":"read_like","stream":true,"windowUs":5000000},
	{"deadlineUs":9000000,"dedupScope":"all","lateShare":0.1,"name":"rate-quote","points":2.0,"promiseUs":1200000,"repeat":"read_like",
	"stream":true,"windowUs":5000000}],
	"clients":{"marksRetry":true},"discovery":"push",
	"extra":{"advice":false,"allowedPools":[%[3]s,%[3]s,%[3]s],"homeNo":-1,"meanHoldUs":[9200000,4600000,7400000],"releaseGuardUs":500000,
	"remoteLoad":"piggyback","retransmitUs":400000,"shape":"pools","tellsWait":false,"widths":[1,1,1]},
	"groupSize":%[1]d,"hostTypes":["standard-1core"],"myZone":0,"overShareWorth":0.1,
	"penalties":{"connection":0.0,"crossZone":0.0,"discovery":0.0,"handshake":0.0,"lateFail":0.03,"moves":0.0,"origin":0.0,"peer":0.0,
	"probe":0.0,"waste":0.02},
	"rank":%[2]d,"report":{"fields":["free","size","lat_ms"],"how":"piggyback"},
	"rules":{"answerSlackUs":20000,"askWithinUs":10000000,"coldShare":0.3,"drainGraceUs":1000000,"overloadForUs":2000000,
	"rampTimeUs":13000000,"tipMultiple":2.0},
	"scoreParts":{"whole":0.5,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.3},"serviceType":"trunks","tenants":[],"tickUs":5000,
	"tier":0,"tiers":["transfer-servers"],"weights":"silent","worthBy":"request","zones":["bergvik-sentrum"]}`, nodes, rank, pools)
}

// Case is what one script runs.
type Case struct {
	*Record
	Dir     string // temporary folder
	Run     string // command of the deploy file
	Trouble bool   // whether the disruption happens
	nodes   []*Node
}

// Verdict is what a case has found: the rule was broken or held.
type Verdict struct {
	Broken bool
	Text   string
}

// Play runs a case and ends the program with its exit status: 1 if the rule was broken, 0 if it held, 2 if the case
// could not run. The arguments are the file of the record and the command of the deploy file.
func Play(play func(*Case) (Verdict, error)) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: case RECORD RUN-COMMAND")
		os.Exit(2)
	}
	os.Exit(playCase(play))
}

func playCase(play func(*Case) (Verdict, error)) int {
	rec, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.Close()
	dir, err := os.MkdirTemp("", "review-"+filepath.Base(os.Args[0]))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	c := &Case{Record: rec, Dir: dir, Run: os.Args[2], Trouble: os.Getenv("TROUBLE") != "0"}
	defer c.endNodes()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		verdict Verdict
		err     error
	}
	done := make(chan result, 1)
	go func() {
		verdict, err := play(c)
		done <- result{verdict, err}
	}()
	var got result
	select {
	case got = <-done:
	case sig := <-stopped:
		got.err = fmt.Errorf("ended by %v", sig)
	case <-time.After(115 * time.Second):
		got.err = fmt.Errorf("did not end within 115 s")
	}
	switch {
	case got.err != nil:
		rec.Add("verdict", "could not run: %v", got.err)
		fmt.Println("could not run:", got.err)
		return 2
	case got.verdict.Broken:
		rec.Add("verdict", "BROKEN: %s", got.verdict.Text)
		fmt.Println("BROKEN:", got.verdict.Text)
		return 1
	}
	rec.Add("verdict", "held: %s", got.verdict.Text)
	fmt.Println("held:", got.verdict.Text)
	return 0
}

// Node prepares an access node, which ends with the case.
func (c *Case) Node(name string) (*Node, error) {
	n, err := NewNode(name, c.Dir, c.Run, c.Record)
	if err == nil {
		c.nodes = append(c.nodes, n)
	}
	return n, err
}

func (c *Case) endNodes() {
	for _, n := range c.nodes {
		n.Kill()
		if log, err := os.ReadFile(filepath.Join(c.Dir, n.Name+".log")); err == nil && os.Getenv("NODE_LOG") != "" {
			_ = os.WriteFile(os.Getenv("NODE_LOG"), log, 0o600)
		}
	}
}
