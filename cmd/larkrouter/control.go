package main

import (
	"context"
	"fmt"
	"time"

	"larkrouter/internal/config"
	"larkrouter/internal/daemon"
)

// controlFlags select the node that a command is sent to.
type controlFlags struct {
	Config string        `short:"c" type:"path" help:"The node's configuration file, whose control.socket is used."`
	Socket string        `type:"path" help:"The node's control socket, instead of --config."`
	Wait   time.Duration `default:"60s" help:"Maximum time to wait for the answer."`
}

// send sends a command to the node and prints the response.
func (c *controlFlags) send(method, command string) error {
	socket := c.Socket
	if socket == "" {
		if c.Config == "" {
			return fmt.Errorf("--config or --socket is required")
		}
		cfg, err := config.Load(c.Config)
		if err != nil {
			return err
		}
		if socket = cfg.Control.Socket; socket == "" {
			return fmt.Errorf("%s: control.socket is not set: set it to a path, or send a signal to the process", c.Config)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait)
	defer cancel()
	response, err := daemon.SendControl(ctx, socket, method, command)
	if err == nil {
		fmt.Print(string(response))
	}
	return err
}

// reloadCmd makes a node reload its configuration.
type reloadCmd struct{ controlFlags }

func (c *reloadCmd) Run() error { return c.send("POST", "reload") }

// upgradeCmd makes a node hand its sockets to a new process.
type upgradeCmd struct{ controlFlags }

func (c *upgradeCmd) Run() error { return c.send("POST", "upgrade") }

// stopCmd makes a node refuse new calls and end once its calls have ended.
type stopCmd struct{ controlFlags }

func (c *stopCmd) Run() error { return c.send("POST", "stop") }

// statusCmd prints the status of a node.
type statusCmd struct{ controlFlags }

func (c *statusCmd) Run() error { return c.send("GET", "status") }
