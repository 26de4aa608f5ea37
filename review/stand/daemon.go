package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemon is one of the project's daemons as a separate process, run with the command of the deploy file.
type daemon struct {
	rec                        *record
	program                    string
	name, zone, folder         string
	frontend, readiness        string
	control, internal          string
	seeds, storeAddress, cloud string
	bootstrap                  bool

	mutex    sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	misses   int
	rotation bool
}

// The ports lie below the range of ephemeral ports.
const (
	firstPort = 12000
	portCount = 18000
)

var nextPort = os.Getpid() * 131 % portCount

// freePorts returns a number of consecutive free TCP and UDP ports on the loopback address.
func freePorts(count int) (int, error) {
	for tries := 0; tries < portCount; tries++ {
		first := firstPort + nextPort%portCount
		nextPort += count
		free := true
		for port := first; port < first+count && free; port++ {
			free = isFree(fmt.Sprintf("127.0.0.1:%d", port))
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	p, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	return p.Close() == nil
}

func newDaemon(rec *record, program, folder, name, zone, storeAddress, cloud string) (*daemon, error) {
	first, err := freePorts(5)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", first+i) }
	return &daemon{
		rec: rec, program: program, name: name, zone: zone, folder: folder, storeAddress: storeAddress, cloud: cloud, bootstrap: true,
		frontend: at(0), readiness: at(1), control: at(2), internal: fmt.Sprintf("%d,%d", first+3, first+4), rotation: true,
	}, nil
}

// writeSettings writes the daemon's settings file, with the bounds of the small site.
func (d *daemon) writeSettings() (string, error) {
	lines := []string{
		"node_name=" + d.name, "role=entry", "machine_class=edge", "serves=edge,control", "ip=127.0.0.1", "zone=" + d.zone, "region=tt-north",
		"listen.frontend=" + d.frontend, "listen.readiness=" + d.readiness, "listen.control_plane=" + d.control,
		"internal_ports=" + d.internal, "seed_nodes=" + d.seeds, fmt.Sprintf("bootstrap=%t", d.bootstrap),
		"limits.cpu_quota=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,rollout,platform",
		"bounds.contact_ms=3000", "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.config_apply_ms=2000", "bounds.retry_budget_ratio=0.2",
		"bounds.budget_window_s=10", "bounds.retry_allowance=54", "bounds.quota_window_s=8", "bounds.quota_overrun=0.1", "bounds.quota_tolerance=110000",
		"bounds.fencing_required=false", "bounds.lease_ms=3000", "bounds.thaw_ms=300", "bounds.window_s=5", "bounds.usage_late_s=10",
		"bounds.exposure_share=0.1", "bounds.exposure_tolerance=50", "bounds.rollback_ms=5000", "bounds.recover_s=12", "bounds.reuse_window_s=9.3",
		"platform.address=" + d.storeAddress, "platform.form=log", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.record_bytes=262144",
		"cloud_api.address=" + d.cloud, "cloud_api.rate_per_s=50.0", "cloud_api.duties=usage_report,autoscale", "cloud_api.duty_per_s=50.0",
	}
	path := filepath.Join(d.folder, d.name+".conf")
	return path, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts the process. Its output goes to a file in the temporary folder.
func (d *daemon) start() error {
	settings, err := d.writeSettings()
	if err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(d.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(d.program, "platform")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, name("settings") + "=" + settings}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = output.Close()
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(exited)
	}()
	d.mutex.Lock()
	d.command, d.exited = command, exited
	d.mutex.Unlock()
	d.bootstrap = false
	d.rec.add("daemon %s starts, process %d", d.name, command.Process.Pid)
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.command != nil {
		_ = d.command.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	d.mutex.Lock()
	exited := d.exited
	d.mutex.Unlock()
	if exited != nil {
		<-exited
	}
}

func (d *daemon) pid() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.command == nil {
		return 0
	}
	return d.command.Process.Pid
}

// ready reports whether the daemon answers the balancer's question with 200.
func (d *daemon) ready() bool {
	client := http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + d.readiness + "/-/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
