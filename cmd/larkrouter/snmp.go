package main

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/gosnmp/gosnmp"

	"larkrouter/internal/daemon"
	"larkrouter/internal/snmp/mib"
)

// snmpCmd groups the commands that query an SNMP agent, and the one that prints the MIB.
type snmpCmd struct {
	Walk snmpWalkCmd `cmd:"" help:"Walk a subtree of an agent."`
	Get  snmpGetCmd  `cmd:"" help:"Get the values of single instances."`
	Mib  snmpMibCmd  `cmd:"" help:"Print LARKROUTER-MIB."`
}

// snmpFlags select an SNMP agent and how to authenticate with it.
type snmpFlags struct {
	Agent     string        `default:"127.0.0.1:1161" help:"Address of the agent."`
	Community string        `short:"C" help:"Community for v2c."`
	User      string        `short:"u" help:"User for v3."`
	Auth      string        `enum:",sha224,sha256,sha384,sha512" default:"" help:"Authentication protocol: sha224, sha256, sha384 or sha512."`
	AuthPass  string        `env:"LARKROUTER_SNMP_AUTH" help:"Authentication passphrase."`
	PrivPass  string        `env:"LARKROUTER_SNMP_PRIV" help:"Passphrase for AES privacy."`
	Timeout   time.Duration `default:"2s" help:"Maximum time to wait for each response."`
}

// connect returns a client that is ready to query the agent, over v2c with a community or over v3 with a user.
func (p *snmpFlags) connect() (*gosnmp.GoSNMP, error) {
	address, err := netip.ParseAddrPort(p.Agent)
	if err != nil {
		return nil, fmt.Errorf("agent %q: must be a numeric host:port", p.Agent)
	}
	if (p.Community == "") == (p.User == "") {
		return nil, fmt.Errorf("snmp: exactly one of --community and --user is required")
	}
	client := &gosnmp.GoSNMP{Target: address.Addr().String(), Port: address.Port(), Timeout: p.Timeout, Retries: 2, MaxOids: gosnmp.MaxOids,
		MaxRepetitions: 25, Version: gosnmp.Version2c, Community: p.Community}
	if p.User != "" {
		user := daemon.ClientUser(p.User, p.Auth, p.AuthPass, p.PrivPass)
		client.Version, client.SecurityModel, client.SecurityParameters, client.MsgFlags = gosnmp.Version3, gosnmp.UserSecurityModel, user,
			daemon.ClientFlags(user)
	}
	if err := client.Connect(); err != nil {
		return nil, fmt.Errorf("agent %s: %w", p.Agent, err)
	}
	return client, nil
}

// printPDU prints a variable as "name = type: value".
func printPDU(pdu gosnmp.SnmpPDU) error {
	value := pdu.Value
	if text, ok := value.([]byte); ok {
		value = string(text)
	}
	_, err := fmt.Fprintf(os.Stdout, "%s = %v: %v\n", pdu.Name, pdu.Type, value)
	return err
}

// snmpWalkCmd walks a subtree of an agent.
type snmpWalkCmd struct {
	snmpFlags
	OID string `arg:"" optional:"" default:"1.3" help:"Root of the subtree."`
}

func (c *snmpWalkCmd) Run() error {
	client, err := c.connect()
	if err != nil {
		return err
	}
	defer client.Close()
	if err := client.BulkWalk(c.OID, printPDU); err != nil {
		return fmt.Errorf("walking %s at %s: %w", c.OID, c.Agent, err)
	}
	return nil
}

// snmpGetCmd gets the values of single instances.
type snmpGetCmd struct {
	snmpFlags
	OIDs []string `arg:"" help:"Instances, such as 1.3.6.1.2.1.1.3.0."`
}

func (c *snmpGetCmd) Run() error {
	client, err := c.connect()
	if err != nil {
		return err
	}
	defer client.Close()
	response, err := client.Get(c.OIDs)
	if err != nil {
		return fmt.Errorf("getting from %s: %w", c.Agent, err)
	}
	for _, variable := range response.Variables {
		if err := printPDU(variable); err != nil {
			return err
		}
	}
	return nil
}

// snmpMibCmd prints LARKROUTER-MIB.
type snmpMibCmd struct{}

func (snmpMibCmd) Run() error {
	fmt.Print(mib.ModuleText(mib.DefaultArc))
	return nil
}
