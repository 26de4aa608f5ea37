package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// testbed is a small deployment: daemons in three zones, the store, the platform's API and replicas.
	testbed struct {
		record  *record
		folder  string
		program string
		trouble bool

		store    *store
		cloud    *cloud
		servers  []*http.Server
		replicas []*replica
		daemons  []*daemon
		links    []*link
		once     sync.Once
	}

	// daemon is a process of the system.
	daemon struct {
		name, zone                        string
		front, ready, control, peers, met string
		settings                          string
		command                           *exec.Cmd
		log                               *os.File
	}
)

const (
	host       = "shop.example"
	key        = "key-of-counter"
	tenant     = "counter"
	readyLimit = 25 * time.Second

	// The ports of daemons and replicas. The factor spreads the first ports of scripts that run beside each other.
	firstPort  = 20000
	portCount  = 12000
	portFactor = 7919

	plainTimeout = 1200 * time.Millisecond
	modelTimeout = 4 * time.Second
)

var (
	zones    = []string{"oslo-a", "oslo-b", "oslo-c"}
	nextPort atomic.Int64
)

// start starts the store, the API and the replicas, and publishes the configuration.
func (tb *testbed) start(extraServices ...map[string]any) error {
	tb.store, tb.cloud = newStore(), &cloud{record: tb.record}
	for i, zone := range zones {
		for n := range 2 {
			if err := tb.addReplica(fmt.Sprintf("i-model-%d%d", i, n), "pool", zone, true); err != nil {
				return err
			}
		}
		if err := tb.addReplica(fmt.Sprintf("i-plain-%d", i), "app", zone, false); err != nil {
			return err
		}
	}
	tb.configure(extraServices...)
	return nil
}

func (tb *testbed) addReplica(id, service, zone string, model bool) error {
	r, err := newReplica(tb.record, tb.store, id, service, zone, model)
	if err == nil {
		tb.replicas = append(tb.replicas, r)
	}
	return err
}

// configure writes the operator's configuration, with limits and an engine as a small site has them.
func (tb *testbed) configure(pool ...map[string]any) {
	route := func(name, kind, service string, timeout time.Duration, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout.Milliseconds(),
			"target_latency_ms": 400, "priority": 1, "service": service, "max_attempts": attempts, "gap_target_ms": 300,
		}
	}
	service := map[string]any{"name": "pool", "max_connections": 360, "engine": map[string]any{
		"slots": 16, "kv_capacity": 414573, "kv_bytes": 327680, "link_mbps": 270000.0, "stride": 3,
	}}
	for _, more := range pool {
		for name, value := range more {
			service[name] = value
		}
	}
	value, _ := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{
			route("activate", "unsafe", "app", plainTimeout, 1), route("lookup", "safe", "app", plainTimeout, 2),
			route("fix", "streaming", "pool", modelTimeout, 1),
		},
		"services": []any{service, map[string]any{"name": "app", "max_connections": 96}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "api_" + "keys": []string{key}}},
	})
	tb.store.put(names["operators"], "config", value)
}

// serve serves a stand-in on a free loopback port and returns its address.
func (tb *testbed) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	tb.servers = append(tb.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// startDaemons starts a daemon in each zone. reach returns the addresses by which a daemon reaches the store and the API.
func (tb *testbed) startDaemons(reach func(name string) (store, cloud string, err error), settings ...string) error {
	for i, zone := range zones {
		d := &daemon{name: fmt.Sprintf("edge-%s-1", zone), zone: zone}
		for _, address := range []*string{&d.front, &d.ready, &d.control, &d.peers, &d.met} {
			free, err := freeAddress()
			if err != nil {
				return err
			}
			*address = free
		}
		store, cloud, err := reach(d.name)
		if err != nil {
			return err
		}
		lines := append([]string{
			"node_name=" + d.name, "role=entry", "machine_class=edge", "serves=edge,control", "ip=127.0.0.1", "zone=" + zone, "region=oslo",
			"zones.oslo-a=oslo", "zones.oslo-b=oslo", "zones.oslo-c=oslo",
			"listen.frontend=" + d.front, "listen.readiness=" + d.ready, "listen.control_plane=" + d.control,
			"internal_ports=" + portOf(d.peers) + "," + portOf(d.met), "bootstrap=true",
			"limits.cpu_quota=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "heartbeat_ms=1200",
			"bounds.contact_ms=3000", "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.config_apply_ms=2000",
			"bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.retry_allowance=52", "bounds.fencing_required=false",
			"bounds.lease_ms=3000", "bounds.thaw_ms=300", "bounds.window_s=5", "bounds.usage_tolerance=0.05", "bounds.usage_late_s=10",
			"bounds.reuse_window_s=8.6", "platform.address=" + store, "platform.form=log", "platform.writes_per_s=400",
			"platform.reads_per_s=2000", "cloud_api.address=" + cloud, "cloud_api.duties=usage_report,autoscale", "cloud_api.duty_per_s=50.0",
		}, settings...)
		d.settings = filepath.Join(tb.folder, d.name+".conf")
		if err := os.WriteFile(d.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			return err
		}
		if d.log, err = os.Create(filepath.Join(tb.folder, d.name+".log")); err != nil {
			return err
		}
		if err := d.run(tb.program); err != nil {
			return err
		}
		tb.daemons = append(tb.daemons, d)
		tb.record.line("daemon %d: %s started, front %s", i+1, d.name, d.front)
	}
	return tb.awaitReady()
}

// run starts the process.
func (d *daemon) run(program string) error {
	d.command = exec.Command(program, "platform")
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["settings"] + "=" + d.settings}
	d.command.Stdout, d.command.Stderr = d.log, d.log
	return d.command.Start()
}

// restart starts the process again. The settings then say that the system does not start for the first time.
func (d *daemon) restart(program string) error {
	text, err := os.ReadFile(d.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(d.settings, []byte(strings.Replace(string(text), "bootstrap=true", "bootstrap=false", 1)), 0o600); err != nil {
		return err
	}
	return d.run(program)
}

// awaitReady waits until all daemons say that they are ready.
func (tb *testbed) awaitReady() error {
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		count := 0
		for _, d := range tb.daemons {
			if d.isReady() {
				count++
			}
		}
		if count == len(tb.daemons) {
			tb.record.line("all daemons are ready")
			return nil
		}
	}
	return errors.New("the daemons did not become ready")
}

// isReady asks for readiness once, as the platform does.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + d.ready + names["ready"])
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// close ends all processes and stand-ins.
func (tb *testbed) close() {
	tb.once.Do(func() {
		for _, d := range tb.daemons {
			_ = d.command.Process.Kill()
			_ = d.command.Wait()
			_ = d.log.Close()
			if folder := os.Getenv("KEEP_LOGS"); folder != "" {
				if text, err := os.ReadFile(d.log.Name()); err == nil {
					_ = os.WriteFile(filepath.Join(folder, filepath.Base(d.log.Name())), text, 0o600)
				}
			}
		}
		for _, r := range tb.replicas {
			r.close()
		}
		for _, l := range tb.links {
			l.close()
		}
		for _, s := range tb.servers {
			_ = s.Close()
		}
	})
}

// freeAddress returns a loopback address whose port is free for TCP and UDP, below those that the kernel gives to outgoing
// channels: one of them could take the port of a process that is down. It does not return the same address twice.
func freeAddress() (string, error) {
	for range portCount {
		n := (int64(os.Getpid())*portFactor + nextPort.Add(1)) % portCount
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+n)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp4", address)
		_ = listener.Close()
		if err != nil {
			continue
		}
		_ = packets.Close()
		return address, nil
	}
	return "", errors.New("no free port")
}

func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}
