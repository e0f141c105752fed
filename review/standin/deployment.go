package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds and settings of the deployment, as the users' sheets give them.
const (
	grace    = 8 * time.Second
	drainMS  = 2000
	hostName = "pier.example"
	// readyTimeout is how long the hosts may take until all are ready.
	readyTimeout = 20 * time.Second
	firstRunner  = 100
)

// host is one host of the deployment, a process of the project's daemon.
type host struct {
	number   int
	ip       string
	settings string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// front returns the address for callers.
func (h *host) front() string { return h.ip + ":8149" }

// deployment is a set of hosts with a store and upstreams, on loopback addresses of its own.
type deployment struct {
	daemon string
	record *record
	dir    string
	subnet string
	store  *store
	hosts  []*host
	// upstreams are the runners of all services.
	upstreams []*upstream
	closeOnce sync.Once
}

// newDeployment returns a deployment without hosts, in a temporary folder.
func newDeployment(daemon string, r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	subnet := fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
	return &deployment{daemon: daemon, record: r, dir: dir, subnet: subnet}, nil
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	d.closeOnce.Do(func() {
		for _, h := range d.hosts {
			h.signal(syscall.SIGCONT)
			h.kill()
		}
		for _, u := range d.upstreams {
			u.close()
		}
		if d.store != nil {
			d.store.close()
		}
		_ = os.RemoveAll(d.dir)
	})
}

// startStore starts the store with a configuration.
func (d *deployment) startStore(retention time.Duration, configuration string) {
	d.store = newStore(d.record, retention)
	d.store.put("keyed.op", "config", configuration)
}

// addUpstream starts an upstream of a service.
func (d *deployment) addUpstream(service string, slots int, set func(*upstream)) (*upstream, error) {
	n := len(d.upstreams)
	u, err := newUpstream(d.record, fmt.Sprintf("%s%d:8501", d.subnet, firstRunner+n), fmt.Sprintf("i-%s-%d", service, n), service, slots)
	if err != nil {
		return nil, err
	}
	set(u)
	u.start(d.store)
	d.upstreams = append(d.upstreams, u)
	return u, nil
}

// startHosts starts hosts and waits until all are ready and known to each other.
func (d *deployment) startHosts(count int) error {
	for n := range count {
		h := &host{number: n, ip: fmt.Sprintf("%s%d", d.subnet, 10+n), settings: filepath.Join(d.dir, fmt.Sprintf("host-%d.json", n))}
		d.hosts = append(d.hosts, h)
		address := fmt.Sprintf("%s%d:8142", d.subnet, 50+n)
		if err := d.store.serve(address, n); err != nil {
			return err
		}
		if err := os.WriteFile(h.settings, []byte(d.settings(n, count, address)), 0o600); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		if err := d.start(h); err != nil {
			return err
		}
	}
	return d.awaitReady(count)
}

// awaitReady waits until all hosts are ready and known to each other.
func (d *deployment) awaitReady(count int) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if d.allKnown(count) {
			d.record.say("%d hosts are ready", count)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the hosts were not ready within %s", readyTimeout)
}

// settings returns the settings file of a host.
func (d *deployment) settings(n, count int, store string) string {
	ip := func(i int) string { return fmt.Sprintf("%s%d", d.subnet, 10+i) }
	var seeds []string
	for i := range min(3, count) {
		seeds = append(seeds, ip(i)+":8144")
	}
	raw, _ := json.MarshalIndent(map[string]any{
		"node_name": fmt.Sprintf("edge-kochi-%d", n+1), "role": "entry", "machine_class": "edge",
		"serves": []string{"edge", "control", "directory"}, "ip": ip(n), "zone": "kochi", "region": "kerala",
		"zones": map[string]string{"kochi": "kerala"},
		"listen": map[string]string{
			"front": ip(n) + ":8149", "ready": ip(n) + ":8141", "control_plane": ip(n) + ":8144", "directory": ip(n) + ":8143",
		},
		"port_range": []int{7380, 7395}, "seed_nodes": seeds, "bootstrap": true, "fault_counted": false,
		"limits":    map[string]any{"cpu_share": 0.8, "cores": 1, "memory_mb": 244, "max_fds": 8200, "link_mbps": 2000.0, "disk_mb": 0},
		"discovery": "platform", "entry": "directory", "heartbeat_ms": 1200,
		"bounds": map[string]any{
			"reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "drain_ms": drainMS, "grace_s": grace.Seconds(),
			"loss_slack_ms": 200, "config_apply_ms": 2000, "recovery_s": 12, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": store, "form": "log", "writes_per_s": 600, "reads_per_s": 2000, "parts": 12, "append_ms": 2.0,
			"part_mb_per_s": 20.0, "read_mb_per_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152,
			"retention_s": d.store.retention.Seconds(), "part_mb": 200, "ttl_min_ms": 1000,
		},
	}, "", "  ")
	return string(raw)
}

// start starts the process of a host.
func (d *deployment) start(h *host) error {
	log, err := os.Create(filepath.Join(d.dir, fmt.Sprintf("host-%d.log", h.number)))
	if err != nil {
		return err
	}
	if path := os.Getenv("KEEP_LOGS"); path != "" {
		if log, err = os.Create(filepath.Join(path, fmt.Sprintf("host-%d.log", h.number))); err != nil {
			return err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.command = exec.Command(d.daemon, "platform")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CITRONPIER_NODE_FILE=" + h.settings}
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		return err
	}
	command, ended := h.command, make(chan struct{})
	h.ended = ended
	go func() {
		err := command.Wait()
		d.record.logf("host %d ended: %v", h.number, err)
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process of the host, unless it has ended.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command == nil {
		return
	}
	select {
	case <-h.ended:
	default:
		_ = h.command.Process.Signal(s)
	}
}

// kill ends the process of the host and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	if h.ended != nil {
		<-h.ended
	}
}

// allKnown reports whether all hosts are ready and each names all.
func (d *deployment) allKnown(count int) bool {
	for _, h := range d.hosts {
		res, err := quick.Get("http://" + h.ip + ":8141/readiness")
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		addresses, _ := d.resolve(h)
		if res.StatusCode != http.StatusOK || len(addresses) != count {
			return false
		}
	}
	return true
}

// quick is the client for the directory and the readiness check.
var quick = &http.Client{Timeout: time.Second}

// resolve asks the directory of a host for the addresses, as a caller does.
func (d *deployment) resolve(h *host) (addresses []string, ttl time.Duration) {
	res, err := quick.Get("http://" + h.ip + ":8143/resolve?name=" + hostName + "&region=kerala&zone=kochi")
	if err != nil {
		return nil, 0
	}
	defer func() { _ = res.Body.Close() }()
	var reply struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(res.Body).Decode(&reply); err != nil {
		return nil, 0
	}
	return reply.Addresses, time.Duration(reply.TTL * float64(time.Second))
}
