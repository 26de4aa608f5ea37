package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	host      = "ficu95.example"
	contact   = 3 * time.Second
)

type (
	// site is a small deployment: daemons as separate processes, the platform's store and API, and replicas.
	site struct {
		folder   string
		entryd   string
		base     string
		store    *store
		daemons  []*daemon
		replicas []*replica
		start    time.Time
		mutex    sync.Mutex
		record   *bufio.Writer
		file     *os.File
		ids      atomic.Int64
		calls    atomic.Int64
	}

	daemon struct {
		name, zone, ip, frontend, ready, settings string
		command                                   *exec.Cmd
		log                                       *os.File
		exited                                    chan struct{}
	}

	// replica is a server. serve answers one request and reports whether the channel stays open.
	replica struct {
		site              *site
		service, zone, ip string
		version           string
		slots             int
		serve             func(r *replica, l *life, c net.Conn, q *http.Request, body []byte) bool
		mutex             sync.Mutex
		life              *life
		starts            int
		draining          bool
		registered        bool
		// fields are added to the head of each answer.
		fields string
	}

	// life is one lifetime of a replica.
	life struct {
		id, address string
		born        int64
		sequence    int
		listener    net.Listener
		ended       chan struct{}
		mutex       sync.Mutex
		conns       map[net.Conn]bool
		busy        atomic.Int64
	}
)

func check(err error) {
	if err != nil {
		cannotRun(err.Error())
	}
}

// cannotRun ends a run that shows nothing.
func cannotRun(why string) {
	fmt.Fprintln(os.Stderr, "could not run:", why)
	if current != nil {
		current.note("could not run: %s", why)
		current.close()
	}
	os.Exit(2)
}

var current *site

func newSite(recordPath string) *site {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		cannotRun(err.Error())
	}
	pid := os.Getpid()
	s := &site{folder: folder, entryd: "target/entryd", base: fmt.Sprintf("127.%d.%d.", 20+pid%200, pid/200%250), store: newStore(), start: time.Now()}
	s.file, err = os.Create(recordPath)
	check(err)
	s.record = bufio.NewWriter(s.file)
	current = s
	go s.store.expire()
	return s
}

// note writes a line with the time since the start in seconds.
func (s *site) note(format string, fields ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, fields...))
}

// freePort returns a port that is free on the given addresses.
func freePort(ips ...string) int {
search:
	for port := 12000 + os.Getpid()%8000; port < 32000; port++ {
		for _, ip := range ips {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				continue search
			}
			_ = l.Close()
		}
		taken[port] = true
		return port
	}
	cannotRun("no free port")
	return 0
}

var taken = map[int]bool{}

// platform starts the store and the API and returns their addresses.
func (s *site) platform() (storeAddress, api string) {
	l, err := net.Listen("tcp", s.base+"200:0")
	check(err)
	go func() { _ = http.Serve(l, s.store) }()
	a, err := net.Listen("tcp", s.base+"201:0")
	check(err)
	go func() {
		_ = http.Serve(a, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			s.calls.Add(1)
			s.note("platform gets %s from %s fence %s: %s", r.URL.Path, r.Header.Get(names["holder"]), r.Header.Get(names["fence"]), body)
			w.WriteHeader(http.StatusOK)
		}))
	}()
	return l.Addr().String(), a.Addr().String()
}

// startDaemons starts daemons in zones by turns, with the settings of a small deployment.
func (s *site) startDaemons(count int) {
	storeAddress, api := s.platform()
	zones := []string{"tt-north-a", "tt-north-b", "tt-north-c"}
	var ips, seeds []string
	for i := range count {
		ips = append(ips, fmt.Sprintf("%s%d", s.base, i+1))
	}
	front := freePort(ips...)
	ports := []int{front}
	for len(ports) < 5 {
		p := ports[len(ports)-1] + 1
		for ; ; p++ {
			ok := true
			for _, ip := range ips {
				if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p)); err != nil {
					ok = false
				} else {
					_ = l.Close()
				}
			}
			if ok {
				break
			}
		}
		ports = append(ports, p)
	}
	for i := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ips[i], ports[2]))
	}
	for i, ip := range ips {
		zone := zones[i%3]
		d := &daemon{settings: filepath.Join(s.folder, fmt.Sprintf("edge-%s-%d.conf", zone, i/3+1)), name: fmt.Sprintf("edge-%s-%d", zone, i/3+1), zone: zone, ip: ip, frontend: fmt.Sprintf("%s:%d", ip, front), ready: fmt.Sprintf("%s:%d", ip, ports[1])}
		settings := fmt.Sprintf(settingsText, d.name, ip, zone, d.frontend, d.ready, ip, ports[2], ports[3], ports[4], strings.Join(seeds, ","), storeAddress, api)
		check(os.WriteFile(d.settings, []byte(settings), 0o600))
		d.run(s)
		s.daemons = append(s.daemons, d)
	}
}

// run starts the process.
func (d *daemon) run(s *site) {
	var err error
	d.log, err = os.OpenFile(filepath.Join(s.folder, d.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	check(err)
	d.command = exec.Command(s.entryd, "platform")
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["settings"] + "=" + d.settings}
	d.command.Stdout, d.command.Stderr = d.log, d.log
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(d.command.Start())
	exited, command := make(chan struct{}), d.command
	d.exited = exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
}

// hasExited reports whether the process has ended.
func (d *daemon) hasExited() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// peakMemory returns the largest resident memory of the process so far, in MB.
func (d *daemon) peakMemory() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) * 1024 / 1e6
		}
	}
	return 0
}

// awaitReady waits until all daemons say that they are ready.
func (s *site) awaitReady() {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, d := range s.daemons {
			if r, err := client.Get("http://" + d.ready + "/-/readyz"); err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.daemons) {
			return
		}
		if time.Now().After(deadline) {
			cannotRun("the daemons are not ready")
		}
	}
}

// close ends all processes that the run has started.
func (s *site) close() {
	for _, d := range s.daemons {
		_ = d.command.Process.Signal(syscall.SIGTERM)
	}
	for _, d := range s.daemons {
		select {
		case <-d.exited:
		case <-time.After(200 * time.Millisecond):
			_ = d.command.Process.Kill()
			<-d.exited
		}
	}
	s.mutex.Lock()
	_ = s.record.Flush()
	_ = s.file.Close()
	s.mutex.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept", s.folder)
	}
}

// finish writes the result and ends the run: 1 if the rule was broken, 0 if it held.
func (s *site) finish(broken bool, result string) {
	for _, d := range s.daemons {
		s.note("%s: largest resident memory %.0f MB, exited %v", d.name, d.peakMemory(), d.hasExited())
	}
	word := "held"
	if broken {
		word = "BROKEN"
	}
	s.note("result: %s: %s", word, result)
	fmt.Printf("%s: %s\n", word, result)
	s.close()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

// addReplica starts a replica and registers it.
func (s *site) addReplica(service, zone string, slots int, serve func(*replica, *life, net.Conn, *http.Request, []byte) bool) *replica {
	r := s.prepareReplica(service, zone, slots, serve)
	s.startReplica(r)
	return r
}

// prepareReplica returns a replica that does not run yet.
func (s *site) prepareReplica(service, zone string, slots int, serve func(*replica, *life, net.Conn, *http.Request, []byte) bool) *replica {
	r := &replica{site: s, service: service, zone: zone, slots: slots, serve: serve, version: "v1", registered: true, ip: fmt.Sprintf("%s%d", s.base, 50+len(s.replicas))}
	s.replicas = append(s.replicas, r)
	return r
}

// startReplica starts a replica, which reports to the store from now on.
func (s *site) startReplica(r *replica) {
	r.begin()
	go func() {
		for range time.Tick(heartbeat) {
			r.register()
		}
	}()
}

// drain makes a replica leave: it says so, goes on serving for a time, and ends.
func (r *replica) drain(length time.Duration) {
	r.mutex.Lock()
	r.draining = true
	id := r.life.id
	r.mutex.Unlock()
	r.site.note("%s drains", id)
	r.register()
	time.AfterFunc(length, r.stop)
}

// begin starts a new lifetime under a new id.
func (r *replica) begin() {
	r.mutex.Lock()
	address := r.ip + ":0"
	if r.life != nil {
		address = r.life.address
	}
	listener, err := net.Listen("tcp", address)
	check(err)
	r.starts++
	l := &life{
		id: fmt.Sprintf("i-%s-%02d-%d", r.service, len(r.site.replicas), r.starts), address: listener.Addr().String(),
		born: time.Now().UnixMilli(), listener: listener, ended: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	l.id = fmt.Sprintf("i-%s-%s-%d", r.service, r.ip[strings.LastIndex(r.ip, ".")+1:], r.starts)
	r.life = l
	r.mutex.Unlock()
	go r.accept(l)
	r.register()
}

// register writes the entry of the present lifetime, if there is one.
func (r *replica) register() {
	r.mutex.Lock()
	l := r.life
	if l == nil || !r.registered || l.over() {
		r.mutex.Unlock()
		return
	}
	l.sequence++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	value := map[string]any{
		"service": r.service, "address": l.address, "zone": r.zone, "version": r.version, "slots": r.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": l.sequence, "born": l.born,
	}
	r.mutex.Unlock()
	r.site.store.beat(l.id, value)
}

func (l *life) over() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// crash ends a lifetime at once; the replica is back after a time.
func (r *replica) crash(l *life, back time.Duration) {
	l.mutex.Lock()
	if l.over() {
		l.mutex.Unlock()
		return
	}
	close(l.ended)
	_ = l.listener.Close()
	for c := range l.conns {
		_ = c.Close()
	}
	l.mutex.Unlock()
	time.AfterFunc(back, r.begin)
}

func (r *replica) accept(l *life) {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mutex.Lock()
		if l.over() {
			l.mutex.Unlock()
			_ = c.Close()
			return
		}
		l.conns[c] = true
		l.mutex.Unlock()
		go r.converse(l, c)
	}
}

func (r *replica) converse(l *life, c net.Conn) {
	defer func() {
		_ = c.Close()
		l.mutex.Lock()
		delete(l.conns, c)
		l.mutex.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if q.Header.Get(names["expected"]) != l.id {
			r.site.note("%s answers 421 to %s", l.id, q.Header.Get("Attempt-Id"))
			if _, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nReplica-Id: %s\r\nContent-Length: 0\r\n\r\n", l.id); err != nil {
				return
			}
			continue
		}
		r.site.note("%s runs at %s", q.Header.Get("Attempt-Id"), l.id)
		l.busy.Add(1)
		keep := r.serve(r, l, c, q, body)
		l.busy.Add(-1)
		if !keep {
			return
		}
	}
}

// head returns the head of an answer up to its framing.
func (r *replica) head(l *life, q *http.Request, status string) string {
	return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + q.Header.Get("Attempt-Id") + "\r\n" + names["signature"] + ": " + l.id + "." + q.Header.Get("Attempt-Id") + "\r\n" + r.fields
}

// stream sends events from the one after the request's last one, with a pause between them.
func (r *replica) stream(l *life, c net.Conn, q *http.Request, events int, first, pause time.Duration) bool {
	time.Sleep(first)
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	if _, err := io.WriteString(c, r.head(l, q, "200 OK")+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	for i := from + 1; i <= events; i++ {
		event := fmt.Sprintf("id: %d\ndata: token-%d of %s ...............\n\n", i, i, q.Header.Get("Attempt-Id"))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		if i < events {
			time.Sleep(pause)
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// settingsText are the settings of a daemon, as DEPLOY.md shows them for this deployment.
const settingsText = `node_name=%s
role=entry
machine_class=edge
serves=edge,control
ip=%s
zone=%s
region=tt-north
zones.tt-north-a=tt-north
zones.tt-north-b=tt-north
zones.tt-north-c=tt-north
listen.frontend=%s
listen.readiness=%s
listen.control_plane=%s:%d
internal_ports=%d,%d
seed_nodes=%s
bootstrap=true
counts_as_loss=false
limits.cpu_quota=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,rollout,platform
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.partition_max_ms=5000
bounds.strict_revocation=false
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_allowance=54
bounds.quota_window_s=8
bounds.quota_overrun=0.1
bounds.quota_tolerance=110000
bounds.fencing_required=false
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.window_s=5
bounds.usage_tolerance=0.05
bounds.usage_late_s=10
bounds.exposure_share=0.1
bounds.exposure_tolerance=50
bounds.rollback_ms=5000
bounds.recover_s=12
bounds.pass_ms=120
bounds.reuse_window_s=9.3
platform.address=%s
platform.form=log
platform.writes_per_s=400
platform.reads_per_s=2000
platform.parts=24
platform.append_ms=1.0
platform.partition_mb_s=20.0
platform.read_mb_s=80.0
platform.record_bytes=262144
platform.call_bytes=2097152
platform.keep_s=300
platform.partition_mb=200
platform.ttl_min_ms=1000
cloud_api.address=%s
cloud_api.rate_per_s=50.0
cloud_api.duties=usage_report
cloud_api.duty_per_s=50.0
`
