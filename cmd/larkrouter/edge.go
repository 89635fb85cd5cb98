package main

import (
	"errors"
	"os"

	"larkrouter/internal/edge"
)

// edgeCmd runs the access node on the platform.
type edgeCmd struct {
	Config string `env:"EDGE_CONFIG" type:"path" help:"Configuration file provided by the platform (JSON); also set by EDGE_CONFIG."`
}

func (c *edgeCmd) Run() error {
	signals := edge.NotifySignals()
	if c.Config == "" {
		return errors.New("edge: EDGE_CONFIG is not set: it must be the path of the configuration file")
	}
	cfg, err := edge.Load(c.Config)
	if err != nil {
		return err
	}
	log, flush := edge.NewLogger(os.Stderr)
	defer flush()
	return edge.Serve(cfg, c.Config, log, signals)
}
