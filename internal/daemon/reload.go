package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"reflect"
	"time"

	"larkrouter/internal/config"
)

// checkRestartOnly returns an error for each section or key that differs between the configurations and is only read when
// the process starts.
func checkRestartOnly(old, next *config.File) error {
	var errs []error
	for _, section := range []struct {
		key                string
		oldValue, newValue any
	}{{"node.seed", old.Node.Seed, next.Node.Seed}, {"node.processors", old.Node.Processors, next.Node.Processors},
		{"node.name", old.Node.Name, next.Node.Name}, {"store", old.Store, next.Store}, {"snmp", old.SNMP, next.SNMP},
		{"control", old.Control, next.Control}} {
		if !reflect.DeepEqual(section.oldValue, section.newValue) {
			errs = append(errs, fmt.Errorf("%s: %s has changed: it is only read at the start, a restart or an upgrade is needed", next.Path,
				section.key))
		}
	}
	return errors.Join(errs...)
}

// reload reads the configuration file again and applies all of it, or none of it if any part is invalid.
func (d *Daemon) reload(ctx context.Context) (err error) {
	notifyManager("RELOADING=1\nMONOTONIC_USEC=" + monotonicMicroseconds())
	defer notifyManager("READY=1")
	defer func() {
		if err != nil {
			d.log.Error("reload refused, the previous configuration stays in force", "cause", err.Error())
		}
	}()
	if d.path == "" {
		return errors.New("reload: this process was started without a configuration file")
	}
	old := d.file.Load()
	next, err := config.Load(d.path)
	if err != nil {
		return err
	}
	if err := checkRestartOnly(old, next); err != nil {
		return err
	}
	var poolFile []byte // content of the pool file, validated together with the configuration
	if next.Pool.File != "" {
		if poolFile, err = os.ReadFile(next.Pool.File); err != nil {
			return fmt.Errorf("%s: pool.file: %w", next.Path, err)
		}
		if _, err := config.ParseServers(next.Pool.File, poolFile); err != nil {
			return err
		}
	}
	change, err := d.loop.stack.PrepareRebind(next.TransportConfig())
	if err != nil {
		return fmt.Errorf("%s: listen: %w", next.Path, err)
	}
	retired := change.RetiredSockets()
	delivered := d.loop.PostAndWait(func(now time.Duration) {
		cfg := next.NodeConfig(d.seed)
		cfg.RetiredSockets = retired
		if err = d.node.Reconfigure(now, cfg); err == nil {
			change.Activate()
		}
	})
	if !delivered {
		err = errors.New("reload: the node has stopped")
	}
	if err != nil {
		change.Abort()
		return err
	}
	d.file.Store(next)
	if handler, ok := d.log.Handler().(*reloadableHandler); ok {
		handler.apply(next.Log)
	}
	if next.Pool != old.Pool {
		d.watchPoolFile(ctx, next.Pool)
	}
	d.log.Info("reloaded", "configuration", next.Name, "udp", d.loop.stack.UDPAddr().String(), "tcp", d.loop.stack.TCPAddr().String())
	if len(retired) > 0 && d.isClosingOldListeners.CompareAndSwap(false, true) {
		d.wg.Add(1)
		go d.closeRetiredListeners(ctx)
	}
	return nil
}

// closeRetiredListeners closes the sockets that a reload replaced, once no call or transaction uses them.
func (d *Daemon) closeRetiredListeners(ctx context.Context) {
	defer d.wg.Done()
	defer d.isClosingOldListeners.Store(false)
	for closed := false; !closed; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(250 * time.Millisecond):
		}
		d.loop.PostAndWait(func(time.Duration) {
			if calls, txs := d.node.RetiredSocketUse(); calls+txs == 0 {
				d.loop.stack.CloseRetired()
				d.node.RetiredSocketsClosed()
				closed = true
			}
		})
	}
	d.log.Info("closed the previous listeners")
}
