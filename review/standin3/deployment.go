package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The ports of a host. Each host has its own loopback address.
const (
	portFront     = 8149
	portReady     = 8141
	portDirectory = 8143
	portControl   = 8144
	portPeers     = 7380
	portMetrics   = 9464
)

const (
	// daemon is the program of a host, as the deploy file builds it.
	daemon = "target/citronpierd"
	// readyTimeout is how long the hosts may take to be ready.
	readyTimeout = 20 * time.Second
	// heartbeat is the time between two writes of an upstream's entry.
	heartbeat = 1200 * time.Millisecond
	// retention is how long a turn is kept.
	retention = 60 * time.Second
)

// run is one run of a case, with everything that it has started.
type run struct {
	record  *record
	ctx     context.Context
	trouble bool

	folder    string
	network   int
	store     *store
	hosts     []*host
	upstreams []*upstream
	stopping  sync.Once
}

// host is one host of citronpier and its process.
type host struct {
	number  int
	ip      string
	command *exec.Cmd
	ended   chan struct{}
}

func (h *host) at(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// front is where callers connect.
func (h *host) front() string { return h.at(portFront) }

// deploy starts the store, the upstreams and a number of hosts, and waits until all are ready.
func (r *run) deploy(hosts int, configuration string, upstreams ...*upstream) error {
	var err error
	if r.folder, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	if r.network, err = freeNetwork(hosts); err != nil {
		return err
	}
	r.store = newStore()
	r.store.put("keyed.op", "config", configuration)
	for _, u := range upstreams {
		if err := u.start(r); err != nil {
			return err
		}
		r.upstreams = append(r.upstreams, u)
		r.publish(u)
	}
	go r.beat()
	for i := range hosts {
		r.hosts = append(r.hosts, &host{number: i, ip: address(r.network, i)})
	}
	for _, h := range r.hosts {
		if err := r.start(h); err != nil {
			return err
		}
	}
	return r.awaitReady()
}

// address returns the address of a host in a network of loopback addresses.
func address(network, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 100+network/250, 1+network%250, 1+number)
}

// freeNetwork returns a network in which all ports of the hosts are free.
func freeNetwork(hosts int) (int, error) {
	const networks = 5000
	for try := range networks {
		network := (os.Getpid()*7 + try) % networks
		free := true
		for i := range hosts {
			for _, port := range []int{portFront, portReady, portDirectory, portControl, portPeers, portMetrics} {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", address(network, i), port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return 0, errors.New("no free ports")
}

// settings returns the settings file of a host, with the figures of a small deployment.
func (r *run) settings(h *host, store string) ([]byte, error) {
	var seeds []string
	for _, other := range r.hosts {
		seeds = append(seeds, other.at(portControl))
	}
	return json.Marshal(map[string]any{
		"node_name": fmt.Sprintf("edge-kochi-%d", h.number), "role": "entry", "machine_class": "edge",
		"serves": []string{"edge", "control", "directory"}, "ip": h.ip, "zone": "kochi", "region": "kerala",
		"zones": map[string]string{"kochi": "kerala"},
		"listen": map[string]string{
			"front": h.front(), "ready": h.at(portReady), "control_plane": h.at(portControl), "directory": h.at(portDirectory),
		},
		"port_range": []int{portPeers, portPeers + 15}, "seed_nodes": seeds, "bootstrap": true, "fault_counted": false,
		"limits":       map[string]any{"cpu_share": 0.8, "cores": 1, "memory_mb": 244, "max_fds": 8200, "link_mbps": 2000.0, "disk_mb": 0},
		"data_dir":     nil,
		"discovery":    "platform",
		"entry":        "directory",
		"heartbeat_ms": heartbeat.Milliseconds(),
		"contracts":    []string{"base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "sync_s": 4.9, "drain_ms": 2000,
			"grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "skew_max_ms": 5000,
			"recovery_s": 12, "pass_ms": 120, "retry_after_s": 0, "deadline_s": 10, "settle_ms": 1000, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": store, "form": "log", "writes_per_s": 600, "reads_per_s": 2000, "parts": 12, "append_ms": 2.0,
			"part_mb_per_s": 20.0, "read_mb_per_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152,
			"retention_s": 300, "part_mb": 200, "ttl_min_ms": 1000,
		},
	})
}

// start writes the settings of a host and starts its process.
func (r *run) start(h *host) error {
	store, err := r.store.serve(h.number)
	if err != nil {
		return err
	}
	raw, err := r.settings(h, store)
	if err != nil {
		return err
	}
	path := filepath.Join(r.folder, fmt.Sprintf("host%d.json", h.number))
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.folder, fmt.Sprintf("host%d.log", h.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.command = exec.Command(daemon, "platform")
	h.command.Env = append(os.Environ(), "CITRONPIER_NODE_FILE="+path)
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	h.ended = make(chan struct{})
	go func() {
		_ = h.command.Wait()
		_ = log.Close()
		close(h.ended)
	}()
	r.record.printf("host %d started at %s", h.number, h.front())
	return nil
}

// signal sends a signal to the process of a host.
func (r *run) signal(h *host, number syscall.Signal) {
	r.record.printf("host %d: signal %v", h.number, number)
	_ = h.command.Process.Signal(number)
}

// awaitReady waits until all hosts are ready and all directories name all hosts.
func (r *run) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	client := http.Client{Timeout: time.Second}
	for _, h := range r.hosts {
		for !isReady(&client, h, len(r.hosts)) {
			if time.Now().After(deadline) || r.ctx.Err() != nil {
				return fmt.Errorf("host %d is not ready, see its log in the temporary folder", h.number)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.record.printf("all hosts are ready")
	return nil
}

func isReady(client *http.Client, h *host, hosts int) bool {
	res, err := client.Get("http://" + h.at(portReady) + "/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return false
	}
	res, err = client.Get("http://" + h.at(portDirectory) + "/resolve?name=pier.example&region=kerala&zone=kochi")
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	var named struct {
		Addresses []string `json:"addresses"`
	}
	return json.NewDecoder(res.Body).Decode(&named) == nil && len(named.Addresses) == hosts
}

// publish writes the entry of an upstream.
func (r *run) publish(u *upstream) {
	if entry := u.nextEntry(); entry != "" {
		r.store.put("keyed.servers", u.id, entry)
	}
}

// beat writes the entries of all upstreams at each heartbeat.
func (r *run) beat() {
	for r.ctx.Err() == nil {
		time.Sleep(heartbeat)
		for _, u := range r.upstreams {
			r.publish(u)
		}
	}
}

// stop ends everything that the run has started.
func (r *run) stop() {
	r.stopping.Do(func() {
		for _, h := range r.hosts {
			if h.command == nil || h.command.Process == nil {
				continue
			}
			_ = h.command.Process.Kill()
			<-h.ended
		}
		for _, u := range r.upstreams {
			u.close()
		}
		if r.store != nil {
			r.store.close()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(r.folder)
		}
	})
}
