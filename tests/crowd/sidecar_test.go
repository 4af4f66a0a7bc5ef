//go:build crowd

package crowd

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/platform"
	"github.com/filbertpier/filbertpier/platform/standin"
	"github.com/filbertpier/filbertpier/tools/fleet"
)

var headerNames = platform.HeaderNames()

// binDir holds the programs under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	if out, err := exec.Command("go", "build", "-o", dir, "../../cmd/...").CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// longResponse is the length of the responses below /long/. It is what a node buffers
// at most.
const longResponse = 1 << 20

// sidecar is a fpsidecar process with its upstream and its store in the test process.
type sidecar struct {
	*process
	ip string
}

// Ports of a sidecar's VM.
const (
	callersPort  = 8629
	nodesPort    = 8624
	readyPort    = 8625
	controlPort  = 8630
	upstreamPort = 8628
	metricsPort  = 9464
)

// sidecarsStarted counts the sidecars of this process, so that each has its own address.
var sidecarsStarted atomic.Int64

func (s *sidecar) addr(port int) string { return net.JoinHostPort(s.ip, strconv.Itoa(port)) }

// startSidecar starts a node whose limits are memoryMB and maxDescriptors.
func startSidecar(t *testing.T) *sidecar {
	s := &sidecar{ip: "127.77." + strconv.Itoa(os.Getpid()%250) + "." + strconv.Itoa(1+int(sidecarsStarted.Add(1)))}
	store := standin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	serveUpstream(t, s.addr(upstreamPort))
	store.PutServer(standin.Server{ID: "u1", Service: "s", Addr: s.addr(upstreamPort), Zone: "z", Slots: 8, StartedAtMs: time.Now().UnixMilli()})
	store.PutConfiguration(1, []standin.Route{{Host: "h", Prefix: "/s/", Service: "s", Idempotent: true, TimeoutMs: 5000, TargetMs: 1000, MaxAttempts: 2}}, "s")
	settings := standin.Settings{
		Node: "n", IP: s.ip, Zone: "z", Region: "r", Service: "s", Upstream: s.addr(upstreamPort),
		Store: strings.TrimPrefix(storeServer.URL, "http://"), Inbound: s.addr(nodesPort), Outbound: s.addr(callersPort),
		Ready: s.addr(readyPort), Control: s.addr(controlPort), Seeds: []string{s.addr(controlPort)}, GraceSeconds: 3,
		Regions: map[string]string{"z": "r"}, MemoryMB: memoryMB, MaxDescriptors: maxDescriptors,
	}
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, settings.Render(), 0o600); err != nil {
		t.Fatal(err)
	}
	p, err := fleet.Launch(fleet.ProcessSpec{BinDir: binDir, Program: "fpsidecar", Name: "node", Env: []string{platform.SettingsEnvVar + "=" + path}, Stdout: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	s.process = watch(t, p)
	return s
}

// serveUpstream serves calls at an address. It reads the whole body first.
func serveUpstream(t *testing.T, addr string) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(headerNames.AttemptID, r.Header.Get(headerNames.AttemptID))
		w.Header().Set(headerNames.Seal, "sealed")
		if strings.HasPrefix(r.URL.Path, "/s/long/") {
			_, _ = io.WriteString(w, strings.Repeat("x", longResponse))
			return
		}
		_, _ = io.WriteString(w, "done")
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
}

// ordinary sends a request as an ordinary caller and reports whether it was served.
func (s *sidecar) ordinary() bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	req, err := http.NewRequest(http.MethodPost, "http://"+s.addr(callersPort)+"/s/ordinary", strings.NewReader(strings.Repeat("x", 1000)))
	if err != nil {
		return false
	}
	req.Host = "h"
	req.Header.Set(headerNames.AttemptID, strconv.FormatInt(time.Now().UnixNano(), 16))
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && string(body) == "done"
}

// Guards against a crowd at any listener of fpsidecar that ends the process, exceeds its
// memory or its descriptors, or shuts ordinary callers out.
func TestSidecarBearsCrowds(t *testing.T) {
	listeners := []struct {
		name       string
		port       int
		host, path string
	}{
		{"callers, routed", callersPort, "h", "/s/x"},
		{"callers, no route", callersPort, "elsewhere", "/x"},
		{"nodes", nodesPort, "h", "/s/x"},
		{"ready", readyPort, "h", platform.ReadyPath},
		{"metrics", metricsPort, "h", platform.MetricsPath},
		{"control", controlPort, "h", "/"},
	}
	for _, l := range listeners {
		for _, a := range attacks {
			t.Run(l.name+"/"+a.name, func(t *testing.T) {
				s := startSidecar(t)
				checkCrowd(t, s.process, a, target{addr: s.addr(l.port), host: l.host, path: l.path}, s.ordinary)
			})
		}
	}
}

// Guards against responses that fill the memory because their callers do not read them.
func TestSidecarBearsSlowReaders(t *testing.T) {
	s := startSidecar(t)
	checkCrowd(t, s.process, slowReaders, target{addr: s.addr(callersPort), host: "h", path: "/s/long/x"}, s.ordinary)
}
