// Command larkrouter is the call router: the daemon and its tools.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"larkrouter/days"
)

type cli struct {
	Serve   serveCmd   `cmd:"" help:"Run the node."`
	Edge    edgeCmd    `cmd:"" help:"Run the access node on the platform, as EDGE_CONFIG says."`
	Check   checkCmd   `cmd:"" help:"Check a configuration file and say what it makes of the node."`
	Demo    demoCmd    `cmd:"" help:"Play a scripted bad day on loopback around a real node, and check the five rules."`
	Measure measureCmd `cmd:"" help:"Measure a node in a process of its own: calls a second, CPU a call, time added, memory."`
	SNMP    snmpCmd    `cmd:"" name:"snmp" help:"Ask an SNMP agent; print the MIB."`
	Store   storeCmd   `cmd:"" help:"Look at, check, compact, back up and restore a store."`
	Fleet   fleetCmd   `cmd:"" help:"Play a day of a whole fleet, in virtual time or on loopback, and check the rules over all nodes."`
	Lab     labCmd     `cmd:"" help:"Experiments: sets of days, sweeps, comparisons, hunts, reports."`
	Reload  reloadCmd  `cmd:"" help:"Let a node read its configuration again, whole or not at all."`
	Upgrade upgradeCmd `cmd:"" help:"Let a node hand its sockets to a new process of the program as it is installed now."`
	Stop    stopCmd    `cmd:"" help:"Let a node take no more calls and end when those it has are over."`
	Status  statusCmd  `cmd:"" help:"Ask a node how it is."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// errSilent ends the program with status 1 where all has been said.
var errSilent = errors.New("")

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("larkrouter"), kong.UsageOnError(), kong.Vars{"days": strings.Join(days.Names(), ", ")},
		kong.Description("A SIP call router: takes calls over UDP and TCP and sets them up at shared call servers."))
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := ctx.Run(); err != nil {
		if err != errSilent {
			fmt.Fprintln(os.Stderr, "larkrouter:", err)
		}
		os.Exit(1)
	}
}
