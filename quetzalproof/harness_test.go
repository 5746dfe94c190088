package quetzalproof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzaltable"
	"quetzalstair/quetzalcore/quetzalwire"
	"quetzalstair/quetzalload/quetzalarrival"
	"quetzalstair/quetzalload/quetzalsender"
	"quetzalstair/quetzalload/quetzalverdict"
)

const (
	token     = "proof-operator-token"
	leaseTime = 2 * time.Second
)

// programs is the folder of the built programs.
var programs string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "quetzalproof")
	if err != nil {
		panic(err)
	}
	programs = dir
	for _, name := range []string{"quetzalentry", "quetzalstandin", "quetzalctl"} {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, name), ".")
		build.Dir = filepath.Join("..", name)
		if out, err := build.CombinedOutput(); err != nil {
			panic(fmt.Sprintf("build %s: %v\n%s", name, err, out))
		}
	}
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// process is a program that a test started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func startProcess(t *testing.T, log, name string, args ...string) *process {
	t.Helper()
	f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(t, err)
	p := &process{cmd: exec.Command(filepath.Join(programs, name), args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = f, f
	// A child holds every open socket between its fork and its exec, also the one
	// with which freePort probes a port.
	ports.Lock()
	err = p.cmd.Start()
	ports.Unlock()
	require.NoError(t, err)
	go func() {
		_ = p.cmd.Wait()
		_ = f.Close()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	})
	return p
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s))
}

// stop asks for a planned stop and waits for its end.
func (p *process) stop(t *testing.T, limit time.Duration) {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	select {
	case <-p.done:
		require.True(t, p.cmd.ProcessState.Success(), "the planned stop failed")
	case <-time.After(limit):
		require.Fail(t, "the planned stop did not end")
	}
}

// entry is one entry process with the faulty links around it.
type entry struct {
	*process
	name, zone               string
	caller, operator, listen string
	// platform and peers are the links to the platform and from the peers.
	platform, peers *toxiproxy.Proxy
}

// fleet is a platform, minions and entries, each a process.
type fleet struct {
	t       *testing.T
	dir     string
	base    string
	admin   string
	minions map[string]string
	// groups are the processes of each zone's minions.
	groups  map[string]*process
	entries []*entry
	proxies *toxiproxy.ApiServer
}

var ports struct {
	sync.Mutex
	used map[int]bool
}

// freePort returns the first of n consecutive ports that were free and not
// handed out before.
func freePort(t *testing.T, n int) int {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	if ports.used == nil {
		ports.used = make(map[int]bool)
	}
	for first := 22000; first < 32000; first += n {
		if !ports.used[first] && allFree(first, n) {
			for p := first; p < first+n; p++ {
				ports.used[p] = true
			}
			return first
		}
	}
	require.Fail(t, "no free ports")
	return 0
}

func allFree(first, n int) bool {
	for p := first; p < first+n; p++ {
		if ports.used[p] {
			return false
		}
		l, err := net.Listen("tcp", address(p))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// newFleet starts zones with entries and minions and declares one pool "proofs"
// with a queue, and a spare pool "leaflets".
func newFleet(t *testing.T, zones []string, entriesPerZone int) *fleet {
	t.Helper()
	port := freePort(t, 2)
	f := &fleet{
		t: t, dir: t.TempDir(), base: "http://" + address(port), admin: "http://" + address(port+1),
		minions: make(map[string]string), groups: make(map[string]*process),
		proxies: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop()),
	}
	startProcess(t, f.dir+"/platform.log", "quetzalstandin", "platform", "--address", address(port), "--admin", address(port+1))
	f.waitFor(f.admin + "/load")
	var file strings.Builder
	file.WriteString("Pools:\n")
	for _, pool := range []string{"proofs", "leaflets"} {
		fmt.Fprintf(&file, "  - {Pool: %s, Spare: %t, Budgets: [", pool, pool == "leaflets")
		for _, z := range zones {
			fmt.Fprintf(&file, "{Zone: %s, MinHosts: 1},", z)
		}
		file.WriteString("]}\n")
	}
	file.WriteString("Queues:\n  - {Queue: proofs, Pool: proofs}\nTeams: []\nHosts:\n")
	for _, z := range zones {
		first := freePort(t, 5)
		f.minions[z] = "http://" + address(first+4)
		f.groups[z] = startProcess(t, f.dir+"/minions-"+z+".log", "quetzalstandin", "minions", "--prefix", z+"-host", "--count", "4",
			"--first-port", fmt.Sprint(first), "--admin-port", fmt.Sprint(first+4), "--platform", f.admin)
		for i, pool := range []string{"proofs", "proofs", "leaflets", "leaflets"} {
			fmt.Fprintf(&file, "  - {Host: %s-host%d, Address: %s, Zone: %s, Rack: %s-r%d, Pool: %s}\n",
				z, i+1, address(first+i), z, z, i, pool)
		}
		for n := range entriesPerZone {
			f.entries = append(f.entries, f.newEntry(z, fmt.Sprintf("%s-entry%d", z, n+1)))
		}
	}
	require.NoError(t, os.WriteFile(f.dir+"/fleet.yaml", []byte(file.String()), 0o600))
	for _, e := range f.entries {
		f.waitFor("http://" + e.caller + "/readyz")
	}
	out, err := f.ctl(f.entries[0], "apply", f.dir+"/fleet.yaml")
	require.NoError(t, err, out)
	f.waitForHosts(4 * len(zones))
	return f
}

func (f *fleet) newEntry(zone, name string) *entry {
	port := freePort(f.t, 5)
	e := &entry{name: name, zone: zone, caller: address(port), operator: address(port + 1), listen: address(port + 2)}
	e.platform = f.link(name+"-platform", address(port+3), strings.TrimPrefix(f.base, "http://"))
	e.peers = f.link(name+"-peers", address(port+4), e.listen)
	f.start(e)
	return e
}

// link starts a faulty link.
func (f *fleet) link(name, listen, upstream string) *toxiproxy.Proxy {
	p := toxiproxy.NewProxy(f.proxies, name, listen, upstream)
	require.NoError(f.t, p.Start())
	f.t.Cleanup(p.Stop)
	return p
}

// start starts an entry's process, for the first time or anew.
func (f *fleet) start(e *entry) {
	text := fmt.Sprintf("Entry: %s\nZone: %s\nCallerAddress: %s\nOperatorAddress: %s\nPeerAddress: %s\nPeerListen: %s\n"+
		"PlatformURL: http://%s\nOperatorToken: %s\nLeaseMs: %d\nPollMs: 500\nGossipMs: 300\nStopNoticeMs: 300\n",
		e.name, e.zone, e.caller, e.operator, e.peers.Listen, e.listen, e.platform.Listen, token, leaseTime.Milliseconds())
	if peers := f.peersOf(e); len(peers) > 0 {
		text += "Peers: [" + strings.Join(peers, ", ") + "]\n"
	}
	file := filepath.Join(f.dir, e.name+".yaml")
	require.NoError(f.t, os.WriteFile(file, []byte(text), 0o600))
	e.process = startProcess(f.t, f.dir+"/"+e.name+".log", "quetzalentry", "run", "--settings", file)
	f.list(e.name, "Live")
}

// peersOf lists the addresses of the other entries of an entry's zone.
func (f *fleet) peersOf(e *entry) []string {
	var list []string
	for _, other := range f.entries {
		if other.zone == e.zone && other != e {
			list = append(list, other.peers.Listen)
		}
	}
	return list
}

// kill ends an entry's process at once and lists its host as gone.
func (f *fleet) kill(e *entry) {
	e.signal(f.t, syscall.SIGKILL)
	<-e.done
	f.list(e.name, "Gone")
}

func (f *fleet) list(host, state string) {
	f.put(f.admin+"/hosts", quetzalwire.HostRegistration{Host: host, State: quetzalwire.HostRegistrationState(state)})
}

func (f *fleet) faults(v quetzalwire.Faults) { f.put(f.admin+"/faults", v) }

func (f *fleet) minionFaults(zone, host string, v quetzalwire.MinionFaults) {
	f.put(f.minions[zone]+"/minions/"+host+"/faults", v)
}

func (f *fleet) put(url string, doc any) {
	f.t.Helper()
	text, err := json.Marshal(doc)
	require.NoError(f.t, err)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPut, url, bytes.NewReader(text))
	require.NoError(f.t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	require.NoError(f.t, res.Body.Close())
}

func (f *fleet) waitFor(url string) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		res, err := http.Get(url)
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	}, 15*time.Second, 50*time.Millisecond, url)
}

func (f *fleet) waitForHosts(n int) {
	f.t.Helper()
	for _, e := range f.entries {
		require.Eventually(f.t, func() bool {
			var s quetzalwire.EntryStatus
			return f.get(e, "/status", &s) && s.Hosts == n
		}, 10*time.Second, 50*time.Millisecond)
	}
}

// get reads a document of an entry's operators' API and tells whether it could.
func (f *fleet) get(e *entry, path string, v any) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.operator+path, nil)
	require.NoError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+token)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close() //nolint:errcheck // the body was read
	text, err := io.ReadAll(res.Body)
	return err == nil && res.StatusCode == http.StatusOK && json.Unmarshal(text, v) == nil
}

// ctl runs quetzalctl against an entry.
func (f *fleet) ctl(e *entry, args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(programs, "quetzalctl"), args...)
	cmd.Env = append(os.Environ(), "QUETZAL_ENTRY=http://"+e.operator, "QUETZAL_TOKEN="+token)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// holder returns the entry that holds a zone's duties.
func (f *fleet) holder(zone string) *entry {
	f.t.Helper()
	var found *entry
	require.Eventually(f.t, func() bool {
		for _, e := range f.entries {
			var s quetzalwire.EntryStatus
			if e.zone == zone && f.get(e, "/status", &s) && s.HoldsDuty {
				found = e
				return true
			}
		}
		return false
	}, 10*time.Second, 50*time.Millisecond)
	return found
}

func (f *fleet) callerURLs() []string {
	var urls []string
	for _, e := range f.entries {
		urls = append(urls, "http://"+e.caller)
	}
	return urls
}

// load is load under way.
type load struct {
	f     *fleet
	shots *quetzaltable.Table[quetzalsender.Shot]
	done  chan struct{}
}

func proofLoad(seed uint64, d time.Duration) *quetzalarrival.Spec {
	return &quetzalarrival.Spec{
		Queues: []quetzalunitQueue{"proofs"}, Rate: 120, For: d, Profile: quetzalarrival.Flat{}, Idempotent: 50,
		ShortRun: 20 * time.Millisecond, Timeout: 6 * time.Second, OwnIDs: true, Seed: seed,
	}
}

// sendLoad begins to send load to some entries.
func (f *fleet) sendLoad(s *quetzalarrival.Spec, urls []string) *load {
	sender, cleanup := quetzalsender.New(urls)
	sender.BodyBytes = 40
	l := &load{f: f, done: make(chan struct{})}
	go func() {
		defer close(l.done)
		defer cleanup()
		l.shots = sender.Send(quetzalarrival.Plan(s))
	}()
	return l
}

// judge waits for the load's end and compares it with the minions' logs.
func (l *load) judge() quetzalverdict.Verdict {
	l.f.t.Helper()
	<-l.done
	var admins []string
	for _, url := range l.f.minions {
		admins = append(admins, url)
	}
	runs, err := quetzalverdict.Runs(context.Background(), admins)
	require.NoError(l.f.t, err)
	v := quetzalverdict.Judge(l.shots, runs)
	l.f.t.Log(v.String())
	return v
}

// longestGap returns the longest time without a request that ran.
func (l *load) longestGap() time.Duration {
	var ends []time.Duration
	for _, s := range l.shots.All() {
		if s.Outcome == quetzalsender.Ran {
			ends = append(ends, s.At+s.Latency)
		}
	}
	return largestGap(ends)
}

func decode(r io.Reader, v any) error { return json.NewDecoder(r).Decode(v) }
