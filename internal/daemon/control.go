package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// Status is the answer of the control socket to GET /status.
type Status struct {
	Process            int     `json:"process"`
	Configuration      string  `json:"configuration"`
	Waiting            int     `json:"waiting"`
	Standing           int     `json:"standing"`
	AnnouncedFleetSize int     `json:"fleet_told"` // fleet size last announced by the list server; 0: never announced
	EffectiveFleetSize float64 `json:"fleet"`      // number of nodes that the node divides its rates by
	Rank               int     `json:"rank"`
	List               int     `json:"list"` // number of servers in the pool list
	ListVersion        uint64  `json:"list_version"`
}

// openControl serves the control interface: HTTP on a Unix socket that only the node's own user can open. During an
// upgrade the new process replaces the socket of its predecessor; otherwise a socket that another process answers on
// is an error.
func (d *Daemon) openControl(path string, replacePredecessor bool) (io.Closer, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	if !replacePredecessor {
		if conn, err := net.Dial("unix", path); err == nil {
			conn.Close()
			return nil, fmt.Errorf("control socket %s: another node answers there; each node needs a socket of its own", path)
		}
	}
	tempPath := path + ".new"
	_ = os.Remove(tempPath)
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: tempPath, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("control socket %s: %w", path, err)
	}
	listener.SetUnlinkOnClose(false)
	if err = os.Chmod(tempPath, 0o600); err == nil {
		err = os.Rename(tempPath, path)
	}
	if err != nil {
		listener.Close()
		_ = os.Remove(tempPath)
		return nil, fmt.Errorf("control socket %s: %w", path, err)
	}
	handlers := http.NewServeMux()
	for _, command := range []string{"reload", "upgrade", "stop"} {
		handlers.HandleFunc("POST /"+command, func(w http.ResponseWriter, r *http.Request) {
			request := commandRequest{command, make(chan error, 1)}
			select {
			case d.commands <- request:
			case <-r.Context().Done():
				return
			}
			select {
			case err := <-request.done:
				if err != nil {
					http.Error(w, err.Error(), http.StatusUnprocessableEntity)
				}
			case <-r.Context().Done():
			}
		})
	}
	handlers.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		status := Status{Process: os.Getpid(), Configuration: d.file.Load().Name}
		if !d.loop.PostAndWait(func(now time.Duration) {
			snap := d.node.Snapshot(now)
			status.Waiting, status.Standing, status.Rank, status.ListVersion, status.List = snap.WaitingCalls, snap.StandingCalls, snap.Rank,
				snap.ListVersion, len(snap.Servers)
			status.AnnouncedFleetSize, status.EffectiveFleetSize = d.node.FleetSize()
		}) {
			http.Error(w, "the node has stopped", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status)
	})
	server := &http.Server{Handler: handlers, ReadHeaderTimeout: 5 * time.Second}
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		_ = server.Serve(listener)
	}()
	return server, nil
}

// SendControl sends a command to a node over its control socket and returns the body of the response.
func SendControl(ctx context.Context, socket, method, command string) ([]byte, error) {
	client := http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "unix", socket)
	}}}
	defer client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, method, "http://node/"+command, nil)
	if err != nil {
		return nil, err
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("control request to %s: %s: %w", socket, command, errors.Unwrap(err))
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	if err == nil && res.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s refused: %s", command, body)
	}
	return body, err
}
