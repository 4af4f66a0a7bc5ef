package main

import (
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/filbertpier/filbertpier/platform/standin"
)

// Ports of a VM, the same on all VMs, relative to the first one.
const (
	portInbound = iota
	portOutbound
	portReady
	portControl
	portServer
	portCount
)

// Figures of the sheet hffa-mesh-grown.
const (
	graceTime   = 6 * time.Second
	contactTime = 4 * time.Second
)

// vm is a machine with a server and a node, whose process the bed starts.
type vm struct {
	name, ip, zone, service string
	slots                   int
	server                  *appServer
	process                 *exec.Cmd
	exited                  chan struct{}
	restarts                int
}

// bed holds the processes and stand-ins of a case.
type bed struct {
	rec      *record
	dir      string
	basePort int
	store    *standin.Store
	http     *http.Server
	storeAt  string
	vms      []*vm
	memoryMB int
	// linkMbps replaces the bandwidth of the settings unless it is zero.
	linkMbps int
	// bodyLimit replaces max_body_bytes of the configuration unless it is zero.
	bodyLimit atomic.Int64
}

func (b *bed) addr(v *vm, port int) string {
	return net.JoinHostPort(v.ip, strconv.Itoa(b.basePort+port))
}

// newBed starts the store, the servers and the nodes.
func newBed(rec *record, vms []*vm, memoryMB int) (*bed, error) {
	dir, err := os.MkdirTemp("", "filbertpier-review-")
	if err != nil {
		return nil, err
	}
	b := &bed{rec: rec, dir: dir, store: standin.NewStore(), vms: vms, memoryMB: memoryMB}
	if err := b.choosePorts(); err != nil {
		return b, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return b, err
	}
	b.storeAt = l.Addr().String()
	b.http = &http.Server{Handler: http.HandlerFunc(b.serveStore)}
	go func() { _ = b.http.Serve(l) }()
	for _, v := range vms {
		if v.server, err = startServer("i-"+v.name, v.service, b.addr(v, portServer), v.slots, rec); err != nil {
			return b, err
		}
		b.store.PutServer(standin.Server{
			ID: v.server.id, Service: v.service, Addr: v.server.addr, Zone: v.zone, Slots: v.slots, StartedAtMs: time.Now().UnixMilli(),
		})
	}
	return b, nil
}

// serveStore answers for the store, with bodyLimit in the configuration.
func (b *bed) serveStore(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	b.store.ServeHTTP(answer, r)
	body := answer.Body.Bytes()
	if n := b.bodyLimit.Load(); n > 0 {
		body = base64Value.ReplaceAllFunc(body, func(quoted []byte) []byte {
			value, err := base64.StdEncoding.DecodeString(string(quoted[1 : len(quoted)-1]))
			if err != nil || !bytes.Contains(value, []byte(standinBodyLimit)) {
				return quoted
			}
			value = bytes.Replace(value, []byte(standinBodyLimit), fmt.Appendf(nil, `"max_body_bytes":%d`, n), 1)
			return []byte(strconv.Quote(base64.StdEncoding.EncodeToString(value)))
		})
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Code)
	_, _ = w.Write(body)
}

// standinBodyLimit is the limit that standin.PutConfiguration publishes, base64Value a
// value in an answer of the store.
const standinBodyLimit = `"max_body_bytes":1048576`

var base64Value = regexp.MustCompile(`"[A-Za-z0-9+/]{40,}=*"`)

// choosePorts picks loopback addresses for the VMs and ports that are free on all.
func (b *bed) choosePorts() error {
	for range 50 {
		second, third := 16+rand.IntN(200), rand.IntN(250)
		for i, v := range b.vms {
			v.ip = fmt.Sprintf("127.%d.%d.%d", second, third, i+1)
		}
		b.basePort = 20000 + rand.IntN(8000)
		if b.portsFree() {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (b *bed) portsFree() bool {
	for _, v := range b.vms {
		for p := range portCount {
			l, err := net.Listen("tcp", b.addr(v, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// startNode starts the node of a VM with the command of deploy/system.toml.
func (b *bed) startNode(v *vm) error {
	regions := map[string]string{}
	for _, other := range b.vms {
		regions[other.zone] = "delta"
	}
	settings := standin.Settings{
		Node: "sidecar-" + v.name, IP: v.ip, Zone: v.zone, Region: "delta", Service: v.service, Upstream: v.server.addr, Store: b.storeAt,
		Inbound: b.addr(v, portInbound), Outbound: b.addr(v, portOutbound), Ready: b.addr(v, portReady), Control: b.addr(v, portControl),
		GraceSeconds: int(graceTime.Seconds()), Regions: regions, MemoryMB: b.memoryMB, MaxDescriptors: 4100,
	}
	path := filepath.Join(b.dir, v.name+".toml")
	text := settings.Render()
	if b.linkMbps > 0 {
		text = bytes.Replace(text, []byte("link_mbps = 50"), fmt.Appendf(nil, "link_mbps = %d", b.linkMbps), 1)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(b.dir, fmt.Sprintf("%s-%d.log", v.name, v.restarts)))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/fpsidecar")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FILBERTPIER_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	v.process, v.exited, v.restarts = cmd, make(chan struct{}), v.restarts+1
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(v.exited)
	b.rec.line("node of %s started", v.name)
	return b.awaitReady(v, 10*time.Second)
}

func (b *bed) ready(v *vm) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + b.addr(v, portReady) + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *bed) awaitReady(v *vm, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if b.ready(v) {
			b.rec.line("node of %s ready", v.name)
			return nil
		}
	}
	return errors.New("the node of " + v.name + " did not become ready")
}

// terminate sends SIGTERM, and SIGKILL after the grace period like the platform. It
// returns when the process has ended.
func (b *bed) terminate(v *vm, began time.Time) {
	select {
	case <-v.exited:
	case <-time.After(time.Until(began.Add(graceTime))):
		b.rec.line("node of %s killed after the grace period", v.name)
		_ = v.process.Process.Kill()
		<-v.exited
	}
	b.rec.line("node of %s ended %.3f s after SIGTERM", v.name, time.Since(began).Seconds())
}

func (b *bed) sigterm(v *vm) time.Time {
	b.rec.line("SIGTERM to the node of %s", v.name)
	_ = v.process.Process.Signal(syscall.SIGTERM)
	return time.Now()
}

// runsOf returns the runs of a request at all servers.
func (b *bed) runsOf(id string) []run {
	var out []run
	for _, v := range b.vms {
		out = append(out, v.server.runsOf(id)...)
	}
	return out
}

// close ends all that the bed started.
func (b *bed) close() {
	for _, v := range b.vms {
		if v.process != nil {
			_ = v.process.Process.Kill()
			<-v.exited
		}
		if v.server != nil {
			v.server.close()
		}
	}
	if b.http != nil {
		_ = b.http.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	}
}
