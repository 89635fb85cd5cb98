package fleet

import (
	"time"

	"larkrouter"
	"larkrouter/internal/node"
)

// FaultInjector is a fault injected into a node's module, to test that the rule checker and the hunt detect it. It
// receives each event with the module's actions and returns the actions to carry out instead.
type FaultInjector func(now time.Duration, ev larkrouter.Event, acts []larkrouter.Action) []larkrouter.Action

// faultyController is a controller whose actions pass through a FaultInjector.
type faultyController struct {
	*larkrouter.Controller
	inject FaultInjector
}

// Handle implements node.DecisionModule.
func (c *faultyController) Handle(now time.Duration, ev larkrouter.Event) []larkrouter.Action {
	return c.inject(now, ev, c.Controller.Handle(now, ev))
}

// newFaultyNode creates a node whose controller has the injected fault.
func (f *Fleet) newFaultyNode(config node.Config) (*node.Node, error) {
	return node.NewWithModuleFactory(config, func(s larkrouter.Settings, seed uint64) (node.DecisionModule, error) {
		c, err := larkrouter.New(s, seed)
		return &faultyController{c, f.options.InjectFault}, err
	})
}
