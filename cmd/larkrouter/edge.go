package main

import (
	"errors"
	"os"

	"larkrouter/internal/edge"
)

type edgeCmd struct {
	Config string `env:"EDGE_CONFIG" type:"path" help:"Configuration that the platform gives (JSON); also by EDGE_CONFIG."`
}

func (c *edgeCmd) Run() error {
	signals := edge.Signals()
	if c.Config == "" {
		return errors.New("edge: EDGE_CONFIG is not set, the path of the configuration is right")
	}
	cfg, err := edge.Load(c.Config)
	if err != nil {
		return err
	}
	log, end := edge.Logger(os.Stderr)
	defer end()
	return edge.Serve(cfg, c.Config, log, signals)
}
