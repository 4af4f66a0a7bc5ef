package sidecar_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/disconnect"
	"github.com/filbertpier/filbertpier/internal/feed"
	"github.com/filbertpier/filbertpier/internal/instance"
	"github.com/filbertpier/filbertpier/internal/mesh"
	"github.com/filbertpier/filbertpier/internal/replica"
	"github.com/filbertpier/filbertpier/internal/revision"
	"github.com/filbertpier/filbertpier/internal/settings"
	"github.com/filbertpier/filbertpier/internal/sidecar"
	"github.com/filbertpier/filbertpier/snapshot"
)

var headerNames = mesh.HeaderNames{AttemptID: "Id", TimeLeft: "Left", Seal: "Seal", ExpectedInstance: "Want", NotRun: "Not-Run", CallLimit: "Limit", Leaving: "Leaving", CallerService: "Caller", ColdRemaining: "Cold"}

// store is an in-memory stand-in for the platform's store.
type store struct {
	mu      sync.Mutex
	items   map[string]replica.Item
	at      revision.Revision
	changed chan struct{}
}

func newStore() *store {
	return &store{items: map[string]replica.Item{}, changed: make(chan struct{})}
}

// put stores a value as JSON under a key. A nil value deletes the item.
func (s *store) put(key string, value any) {
	raw, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at.Number++
	s.items[key] = replica.Item{Key: key, Value: raw, Revision: s.at, Deleted: value == nil}
	close(s.changed)
	s.changed = make(chan struct{})
}

// changesSince returns the items that changed after a revision, sorted by key, and
// a channel that is closed at the next change.
func (s *store) changesSince(after revision.Revision) (replica.Page, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := replica.Page{Revision: s.at}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if i := s.items[key]; i.Revision.Number > after.Number {
			page.Items = append(page.Items, i)
		}
	}
	return page, s.changed
}

// source implements replica.Source for one node. While down is set, reads fail.
type source struct {
	store *store
	down  atomic.Bool
}

type downError struct{}

func (downError) Error() string { return "the store is down" }

func (s *source) List(context.Context) (replica.Page, error) {
	if s.down.Load() {
		return replica.Page{}, downError{}
	}
	page, _ := s.store.changesSince(revision.Revision{})
	return page, nil
}

func (s *source) Watch(ctx context.Context, after revision.Revision, wait time.Duration) (replica.Page, error) {
	for {
		if s.down.Load() {
			return replica.Page{}, downError{}
		}
		page, changed := s.store.changesSince(after)
		if len(page.Items) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-time.After(50 * time.Millisecond): // down is checked again
		case <-ctx.Done():
			return replica.Page{}, ctx.Err()
		}
	}
}

// version is the stored form of a configuration version.
type version struct {
	Number uint64
	Body   config.SectionBody
}

// decoder implements feed.Decoder: items under up/ are instances, those under
// evacuate/ evacuated zones, others are versions.
type decoder struct{}

func (decoder) Decode(now time.Time, item replica.Item) (feed.Change, error) {
	if id, ok := strings.CutPrefix(item.Key, "up/"); ok {
		if item.Deleted {
			return feed.Change{RemovedID: id}, nil
		}
		i := &instance.Instance{}
		if err := json.Unmarshal(item.Value, i); err != nil {
			return feed.Change{}, err
		}
		i.StateSince, i.Revision = now, item.Revision
		return feed.Change{Instance: i}, nil
	}
	if zone, ok := strings.CutPrefix(item.Key, "evacuate/"); ok {
		return feed.Change{Evacuation: &feed.Evacuation{Zone: zone, Active: !item.Deleted}}, nil
	}
	var v version
	if err := json.Unmarshal(item.Value, &v); err != nil {
		return feed.Change{}, err
	}
	doc, err := config.CompileBody(v.Body)
	if err != nil {
		return feed.Change{}, err
	}
	return feed.Change{Snapshot: snapshot.NewUnsigned(v.Number, item.Value, doc)}, nil
}

// sectionBody returns a document with two routes to a service: /safe/, which is
// idempotent, and /once/, which is not. A third one, /other/, leads to service b.
func sectionBody(service string) config.SectionBody {
	return config.SectionBody{
		Section: "main", Owner: "ops",
		Ranks:    []config.Rank{{Name: "r", TargetMs: 1000, Worth: 1}},
		Services: []config.Service{{Name: "a", Selector: "a", SlotsAnnounced: true, Connections: 20}, {Name: "b", Selector: "b", SlotsAnnounced: true, Connections: 20}},
		Retries:  []config.RetryPolicy{{Name: "two", MaxAttempts: 2, BudgetRatio: 0.2}},
		Routes: []config.Route{
			{Name: "safe", Host: "h", PathPrefix: "/safe/", Service: service, Rank: "r", Idempotent: true, TimeoutMs: 3000, Retry: "two"},
			{Name: "once", Host: "h", PathPrefix: "/once/", Service: service, Rank: "r", TimeoutMs: 3000, Retry: "two"},
			{Name: "other", Host: "h", PathPrefix: "/other/", Service: "b", Rank: "r", Idempotent: true, TimeoutMs: 3000, Retry: "two"},
		},
	}
}

// fleet holds a store and VMs, each on a loopback address of its own.
type fleet struct {
	t        testing.TB
	store    *store
	basePort int
	vms      []*vm
}

// vm holds an upstream and the node beside it. runs counts the calls that the
// upstream ran.
type vm struct {
	fleet    *fleet
	ip, id   string
	service  string
	zone     string
	region   string
	source   *source
	decoder  feed.Decoder
	node     *sidecar.Node
	settings *settings.Sidecar
	runs     atomic.Int64
	upstream *httptest.Server
	// arrivals counts the requests that reached the upstream, run or not.
	arrivals atomic.Int64
	// restarted is set once the upstream has restarted under an id that the
	// store does not list: it refuses all requests as misdirected.
	restarted atomic.Bool
}

// Ports of a fleet's VMs. They are below the ephemeral port range, from which nodes
// and clients take the ports of outgoing connections.
const (
	firstPort     = 20000
	portsPerFleet = 10
	portRanges    = 1000
)

// fleetsStarted counts the fleets of this process, so that each has its own ports.
var fleetsStarted atomic.Int64

// newFleet starts a store with version 1, which routes to service a.
func newFleet(t testing.TB) *fleet {
	f := &fleet{t: t, store: newStore(), basePort: firstPort + int(fleetsStarted.Add(1)%portRanges)*portsPerFleet}
	f.store.put("config", version{Number: 1, Body: sectionBody("a")})
	return f
}

// testIP returns the n-th loopback address of this process. It differs from those of
// all test processes whose ids are less than 20,000 away.
func testIP(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 110+pid/250%80, 1+pid%250, n)
}

// add starts and publishes the upstream of a new VM, which serves calls with
// handler. The node is started by vm.start.
func (f *fleet) add(service, zone string, handler http.HandlerFunc) *vm {
	f.t.Helper()
	n := len(f.vms) + 2
	v := &vm{fleet: f, ip: testIP(n), id: fmt.Sprintf("i%d", n), service: service, zone: zone, region: regionOf(zone), source: &source{store: f.store}, decoder: decoder{}}
	f.vms = append(f.vms, v)
	l, err := net.Listen("tcp", v.addr(0))
	if err != nil {
		f.t.Fatal(err)
	}
	v.upstream = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v.arrivals.Add(1)
		w.Header().Set(headerNames.AttemptID, r.Header.Get(headerNames.AttemptID))
		if v.restarted.Load() || r.Header.Get(headerNames.ExpectedInstance) != v.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		v.runs.Add(1)
		w.Header().Set(headerNames.Seal, "sealed by "+v.id)
		handler(w, r)
	}))
	v.upstream.Listener = l
	v.upstream.Config.ConnContext = disconnect.ConnContext
	v.upstream.Start()
	f.t.Cleanup(func() {
		v.upstream.CloseClientConnections()
		v.upstream.Close()
	})
	v.publish(instance.Ready)
	v.settings = &settings.Sidecar{
		VM: "vm" + strconv.Itoa(n), Zone: zone, Region: v.region, Service: service, Upstream: v.addr(0), LocalIP: v.ip,
		Listen: settings.SidecarListen{Callers: v.addr(1), Nodes: v.addr(2), Control: v.addr(3), Ready: v.addr(4)},
		Seeds:  []string{f.vms[0].addr(3)}, StopGracePeriod: 3 * time.Second,
	}
	return v
}

// regionOf returns the region of a zone: what follows an "@" in its name, or "r".
func regionOf(zone string) string {
	if _, region, ok := strings.Cut(zone, "@"); ok {
		return region
	}
	return "r"
}

// addr returns an address of the VM by the offset of its port: 0 is the
// upstream, 1 to 4 are the node's ports for callers, other nodes, control and
// readiness.
func (v *vm) addr(portOffset int) string {
	return net.JoinHostPort(v.ip, strconv.Itoa(v.fleet.basePort+portOffset))
}

// publish puts the upstream's entry with the given state into the store.
func (v *vm) publish(s instance.State) {
	v.fleet.store.put("up/"+v.id, instance.Instance{ID: v.id, Service: v.service, Addr: v.addr(0), Zone: v.zone, Region: v.region, Slots: 4, State: s})
}

func (v *vm) start() *vm {
	t := v.fleet.t
	t.Helper()
	node, err := sidecar.Start(v.settings, sidecar.Adapter{
		HeaderNames: headerNames, Source: v.source, Decoder: v.decoder, ReadyPath: "/ready", MetricsPath: "/metrics",
	}, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	v.node = node
	t.Cleanup(node.Close)
	return v
}

// discardLogger returns a logger that formats every line and discards it. A null
// logger would leave out what nodes do to log a decision.
func discardLogger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Level: hclog.Debug, Output: io.Discard, JSONFormat: true})
}

// response is what the caller of a call received.
type response struct {
	status     int
	body       string
	retryAfter string
	err        error
}

var lastAttemptID atomic.Int64

// call sends a call to the caller port of the VM's own node on a new connection,
// with a new attempt id and a deadline in 2.5 s.
func (v *vm) call(method, path string) response {
	return v.callWith(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}, method, path)
}

// postWith sends a POST call with a body on a connection of the client.
func (v *vm) postWith(client *http.Client, path, body string) response {
	return v.send(client, http.MethodPost, path, strings.NewReader(body))
}

// callWith sends a call like call, on a connection of the client.
func (v *vm) callWith(client *http.Client, method, path string) response {
	return v.send(client, method, path, nil)
}

// upload sends a POST call with a body on a new connection.
func (v *vm) upload(path, body string) response {
	return v.postWith(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}, path, body)
}

func (v *vm) send(client *http.Client, method, path string, body io.Reader) response {
	req, err := http.NewRequest(method, "http://"+v.addr(1)+path, body)
	if err != nil {
		return response{err: err}
	}
	req.Host = "h"
	req.Header.Set(headerNames.AttemptID, strconv.FormatInt(lastAttemptID.Add(1), 10))
	req.Header.Set(headerNames.TimeLeft, "2500")
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, body: string(raw), retryAfter: resp.Header.Get("Retry-After"), err: err}
}

func (v *vm) ready() bool {
	resp, err := http.Get("http://" + v.addr(4) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await polls ok and fails the test if it does not hold within 20 s.
func await(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}

// respondAfter returns a handler that waits for d and responds with "done " and
// the path of the request.
func respondAfter(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(d)
		_, _ = io.WriteString(w, "done "+r.URL.Path)
	}
}
