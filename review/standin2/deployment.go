package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// program is the program that the deploy file runs, and role the argument that it gives.
	program = "target/citronpierd"
	role    = "platform"
	// heartbeat is the time between two records of an upstream.
	heartbeat = 1200 * time.Millisecond
	// readyTimeout is how long the hosts may take until all are ready.
	readyTimeout = 20 * time.Second
	// callerHost is the host name that callers use.
	callerHost = "standin.example"
)

// hostSettings are what differs between the deployments of the cases.
type hostSettings struct {
	hosts       int
	memoryMB    int
	descriptors int
	bounds      map[string]any
}

// bounds returns the bounds of the deployment of deepam-pier.
func bounds() map[string]any {
	return map[string]any{
		"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "sync_s": 4.9, "drain_ms": 2000, "grace_s": 8,
		"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "skew_max_ms": 5000, "recovery_s": 12, "pass_ms": 120,
		"retry_after_s": 0, "deadline_s": 10, "settle_ms": 1000, "ttl_max_s": 5,
	}
}

// smallSettings are two hosts with the settings of the smallest hosts of cctvn-pier-grown.
func smallSettings() hostSettings {
	b := bounds()
	for name, value := range map[string]any{
		"stable_window_ms": 4000, "ack_ms": 6000, "sync_s": 6, "drain_ms": 3000, "config_apply_ms": 3000, "skew_max_ms": 6000, "recovery_s": 15, "pass_ms": 200,
	} {
		b[name] = value
	}
	return hostSettings{hosts: 2, memoryMB: 120, descriptors: 3075, bounds: b}
}

// deployment is a store, upstreams and the hosts of the system, on loopback addresses.
type deployment struct {
	dir       string
	settings  hostSettings
	store     *store
	storeAt   string
	subnet    string
	port      int
	hosts     []*host
	upstreams []*upstream
	stop      chan struct{}
}

// host is one process of the system.
type host struct {
	ip, front, ready string
	file             string
	process          *exec.Cmd
	log              *os.File
	exited           chan struct{}
}

// newDeployment starts the store and the upstreams, and writes the configuration.
func newDeployment(s hostSettings, st *store, config any, upstreams ...*upstream) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, settings: s, store: st, stop: make(chan struct{})}
	if err := d.findPorts(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", d.subnet+"250:0")
	if err != nil {
		return nil, err
	}
	d.storeAt = l.Addr().String()
	go func() { _ = (&http.Server{Handler: st.handler()}).Serve(l) }()
	raw, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	st.put("keyed.op", "config", raw)
	for i, u := range upstreams {
		if err := u.listen(fmt.Sprintf("%s%d:0", d.subnet, 200+i)); err != nil {
			return nil, err
		}
		d.upstreams = append(d.upstreams, u)
		go u.register(st, d.stop)
	}
	return d, nil
}

// findPorts chooses loopback addresses and ports that are free.
func (d *deployment) findPorts() error {
	for range 50 {
		d.subnet = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
		d.port = 20000 + rand.IntN(8000)
		free := true
		for i := range d.settings.hosts {
			for _, port := range []int{d.port, d.port + 1, d.port + 2, d.port + 3, 9464} {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s%d:%d", d.subnet, i+1, port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

// start starts all hosts and waits until they are ready.
func (d *deployment) start() error {
	for i := range d.settings.hosts {
		ip := fmt.Sprintf("%s%d", d.subnet, i+1)
		h := &host{ip: ip, front: fmt.Sprintf("%s:%d", ip, d.port+1), ready: fmt.Sprintf("%s:%d", ip, d.port+2)}
		h.file = filepath.Join(d.dir, fmt.Sprintf("host-%d.json", i+1))
		raw, err := json.Marshal(d.file(h, i))
		if err != nil {
			return err
		}
		if err := os.WriteFile(h.file, raw, 0o600); err != nil {
			return err
		}
		d.hosts = append(d.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range d.hosts {
			if h.isReady() {
				ready++
			}
		}
		if ready == len(d.hosts) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d hosts are ready", ready, len(d.hosts))
		}
	}
}

// file returns the content of the settings file of a host.
func (d *deployment) file(h *host, i int) map[string]any {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	at := func(offset int) string { return fmt.Sprintf("%s:%d", h.ip, d.port+offset) }
	return map[string]any{
		"node_name": fmt.Sprintf("edge-%d", i+1), "role": "entry", "machine_class": "edge",
		"serves": []string{"edge", "control", "directory"}, "ip": h.ip, "zone": zones[i%len(zones)], "region": "region",
		"zones":      map[string]string{"zone-a": "region", "zone-b": "region", "zone-c": "region"},
		"listen":     map[string]string{"front": at(1), "ready": at(2), "control_plane": at(0), "directory": at(3)},
		"port_range": []int{d.port + 4, d.port + 19}, "seed_nodes": []string{fmt.Sprintf("%s1:%d", d.subnet, d.port)},
		"bootstrap": true, "fault_counted": false,
		"limits": map[string]any{
			"cpu_share": 0.8, "cores": 1, "memory_mb": d.settings.memoryMB, "max_fds": d.settings.descriptors, "link_mbps": 2000.0, "disk_mb": 0,
		},
		"data_dir": nil, "discovery": "platform", "entry": "directory", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds":          d.settings.bounds,
		"platform": map[string]any{
			"address": d.storeAt, "form": "log", "writes_per_s": 600, "reads_per_s": 2000, "parts": 12, "append_ms": 2.0,
			"part_mb_per_s": 20.0, "read_mb_per_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152, "retention_s": 300, "part_mb": 200,
			"ttl_min_ms": 1000,
		},
	}
}

// start starts the process of the host.
func (h *host) start() error {
	log, err := os.OpenFile(h.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.log = log
	h.process = exec.Command(program, role)
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CITRONPIER_NODE_FILE=" + h.file}
	h.process.Stdout, h.process.Stderr = log, log
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.exited = exited
	go func() {
		_ = h.process.Wait()
		close(exited)
	}()
	return nil
}

// alive reports whether the process has not ended.
func (h *host) alive() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// isReady asks the host as the platform does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + h.ready + "/readiness")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	close(d.stop)
	for _, h := range d.hosts {
		if h.process != nil && h.process.Process != nil {
			_ = h.process.Process.Kill()
			<-h.exited
		}
		_ = h.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept", d.dir)
	}
}
