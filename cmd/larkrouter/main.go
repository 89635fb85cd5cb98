// Command larkrouter is the call router: the daemon, its control commands, and tools to simulate, measure and inspect it.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"larkrouter/days"
)

// cli is the command line as kong parses it: a field per command.
type cli struct {
	Serve    serveCmd    `cmd:"" help:"Run a node."`
	Edge     edgeCmd     `cmd:"" help:"Run the access node of the emulation platform (trunk protocol), configured by EDGE_CONFIG."`
	Check    checkCmd    `cmd:"" help:"Validate a configuration file and print a summary of it."`
	Demo     demoCmd     `cmd:"" help:"Run a scripted scenario with faults against a real node on loopback, and check the five call rules."`
	Measure  measureCmd  `cmd:"" help:"Measure a node in a process of its own: calls per second, CPU per call, added set-up time, memory."`
	SNMP     snmpCmd     `cmd:"" name:"snmp" help:"Query an SNMP agent; print the MIB."`
	Store    storeCmd    `cmd:"" help:"Inspect, verify, compact, back up and restore a store."`
	Fleet    fleetCmd    `cmd:"" help:"Simulate a day of a whole fleet, in virtual time or on loopback, and check the rules over all nodes."`
	Lab      labCmd      `cmd:"" help:"Experiments: runs of many days, sweeps, comparisons, searches for bad days, reports."`
	Scenario scenarioCmd `cmd:"" help:"Play seeded scenarios of the platform's access node in virtual time and check them."`
	Reload   reloadCmd   `cmd:"" help:"Make a node reload its configuration; an invalid one changes nothing."`
	Upgrade  upgradeCmd  `cmd:"" help:"Make a node hand its sockets to a new process of the installed program."`
	Stop     stopCmd     `cmd:"" help:"Make a node refuse new calls and end once its calls have ended."`
	Status   statusCmd   `cmd:"" help:"Print the status of a node."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
}

// errReported makes the program exit with status 1 without a message, because the failure has already been printed.
var errReported = errors.New("")

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("larkrouter"), kong.UsageOnError(), kong.Vars{"days": strings.Join(days.Names(), ", ")},
		kong.Description("A SIP call router: takes calls over UDP and TCP and sets them up at shared call servers."))
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := ctx.Run(); err != nil {
		if !errors.Is(err, errReported) {
			fmt.Fprintln(os.Stderr, "larkrouter:", err)
		}
		os.Exit(1)
	}
}
