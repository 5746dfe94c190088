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
	"quetzalstair/quetzalload/quetzalcheck"
	"quetzalstair/quetzalload/quetzalsender"
)

const (
	operatorToken = "proof-operator-token"
	leaseDuration = 2 * time.Second
)

// binDir is the directory of the built programs. TestMain sets it.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "quetzalproof")
	if err != nil {
		panic(err)
	}
	binDir = dir
	for _, name := range []string{"quetzalentry", "quetzalstandin", "quetzalctl", "platform"} {
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
	cmd *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

// startProcess starts a program that appends its output to a log file. The test's cleanup kills it.
func startProcess(t testing.TB, logPath, name string, args ...string) *process {
	t.Helper()
	f, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(t, err)
	p := &process{cmd: exec.Command(filepath.Join(binDir, name), args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = f, f
	// Between fork and exec, a child holds copies of all open sockets, including the listener with
	// which reservePorts probes a port. The port would still be in use when it is needed.
	reservedPorts.Lock()
	err = p.cmd.Start()
	reservedPorts.Unlock()
	require.NoError(t, err)
	go func() {
		_ = p.cmd.Wait()
		_ = f.Close()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // the test may have suspended it
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
	return p
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s))
}

// stop shuts the process down gracefully and requires that it exits with success in time.
func (p *process) stop(t *testing.T, limit time.Duration) {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	select {
	case <-p.exited:
		require.True(t, p.cmd.ProcessState.Success(), "the graceful shutdown failed")
	case <-time.After(limit):
		require.Fail(t, "the graceful shutdown did not finish")
	}
}

// entry is an entry process, its addresses and the proxies around it.
type entry struct {
	*process
	name, zone                                 string
	callerAddress, operatorAddress, peerListen string
	// platformProxy carries its calls to the platform, peerProxy the calls of its peers to it.
	platformProxy, peerProxy *toxiproxy.Proxy
}

// fleet consists of a simulated platform, entries and minions. The platform and each entry have a
// process of their own; the minions of a zone share one.
type fleet struct {
	t   *testing.T
	dir string
	// platformURL is the URL of the platform's service, platformAdminURL that of its admin interface.
	platformURL      string
	platformAdminURL string
	// minionAdminURLs has the URL of the admin interface of each zone's minions.
	minionAdminURLs map[string]string
	// minionProcesses has the process of each zone's minions.
	minionProcesses map[string]*process
	entries         []*entry
	proxies         *toxiproxy.ApiServer
}

// reservedPorts records the ports that reservePorts has handed out. startProcess also holds its lock.
var reservedPorts struct {
	sync.Mutex
	used map[int]bool
}

// reservePorts reserves n consecutive free ports and returns the first. No two calls return the
// same port.
func reservePorts(t testing.TB, n int) int {
	t.Helper()
	reservedPorts.Lock()
	defer reservedPorts.Unlock()
	if reservedPorts.used == nil {
		reservedPorts.used = make(map[int]bool)
	}
	const lowest, highest, stride = 22000, 32000, 250
	// Another run of the tests on this machine, whose entries do not listen yet, must not find the same ports free.
	offset := os.Getpid() * stride
	for k := 0; k+n <= highest-lowest; k += n {
		first := lowest + (offset+k)%(highest-lowest-n)
		if !reservedPorts.used[first] && portsFree(first, n) {
			for p := first; p < first+n; p++ {
				reservedPorts.used[p] = true
			}
			return first
		}
	}
	require.Fail(t, "no free ports")
	return 0
}

// portsFree reports whether n consecutive ports are free. The caller holds the lock of reservedPorts.
func portsFree(first, n int) bool {
	for p := first; p < first+n; p++ {
		if reservedPorts.used[p] {
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

// newFleet starts a fleet and waits until it is ready. Each zone has four minions, two in the
// pool "proofs", which has a queue, and two in the spare pool "leaflets".
func newFleet(t *testing.T, zones []string, entriesPerZone int) *fleet {
	t.Helper()
	port := reservePorts(t, 2)
	f := &fleet{
		t: t, dir: t.TempDir(), platformURL: "http://" + address(port), platformAdminURL: "http://" + address(port+1),
		minionAdminURLs: make(map[string]string), minionProcesses: make(map[string]*process),
		proxies: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop()),
	}
	startProcess(t, f.dir+"/platform.log", "quetzalstandin", "platform", "--address", address(port), "--admin", address(port+1))
	f.waitForOK(f.platformAdminURL + "/load")
	var fleetFile strings.Builder
	fleetFile.WriteString("Pools:\n")
	for _, pool := range []string{"proofs", "leaflets"} {
		fmt.Fprintf(&fleetFile, "  - {Pool: %s, Spare: %t, Budgets: [", pool, pool == "leaflets")
		for _, z := range zones {
			fmt.Fprintf(&fleetFile, "{Zone: %s, MinHosts: 1},", z)
		}
		fleetFile.WriteString("]}\n")
	}
	fleetFile.WriteString("Queues:\n  - {Queue: proofs, Pool: proofs}\nTeams: []\nHosts:\n")
	for _, z := range zones {
		first := reservePorts(t, 5)
		f.minionAdminURLs[z] = "http://" + address(first+4)
		f.minionProcesses[z] = startProcess(t, f.dir+"/minions-"+z+".log", "quetzalstandin", "minions", "--prefix", z+"-host", "--count", "4",
			"--first-port", fmt.Sprint(first), "--admin-port", fmt.Sprint(first+4), "--platform", f.platformAdminURL)
		for i, pool := range []string{"proofs", "proofs", "leaflets", "leaflets"} {
			fmt.Fprintf(&fleetFile, "  - {Host: %s-host%d, Address: %s, Zone: %s, Rack: %s-r%d, Pool: %s}\n",
				z, i+1, address(first+i), z, z, i, pool)
		}
		for n := range entriesPerZone {
			f.entries = append(f.entries, f.newEntry(z, fmt.Sprintf("%s-entry%d", z, n+1)))
		}
	}
	require.NoError(t, os.WriteFile(f.dir+"/fleet.yaml", []byte(fleetFile.String()), 0o600))
	for _, e := range f.entries {
		f.waitForOK("http://" + e.callerAddress + "/readyz")
	}
	out, err := f.runCtl(f.entries[0], "apply", f.dir+"/fleet.yaml")
	require.NoError(t, err, out)
	f.waitForHosts(4 * len(zones))
	return f
}

// newEntry allocates the ports of an entry, starts its proxies and its process.
func (f *fleet) newEntry(zone, name string) *entry {
	port := reservePorts(f.t, 5)
	e := &entry{name: name, zone: zone, callerAddress: address(port), operatorAddress: address(port + 1), peerListen: address(port + 2)}
	e.platformProxy = f.startProxy(name+"-platform", address(port+3), strings.TrimPrefix(f.platformURL, "http://"))
	e.peerProxy = f.startProxy(name+"-peers", address(port+4), e.peerListen)
	f.startEntry(e)
	return e
}

// startProxy starts a proxy from listen to upstream, which a test stops to cut the connection.
func (f *fleet) startProxy(name, listen, upstream string) *toxiproxy.Proxy {
	p := toxiproxy.NewProxy(f.proxies, name, listen, upstream)
	require.NoError(f.t, p.Start())
	f.t.Cleanup(p.Stop)
	return p
}

// startEntry starts an entry's process, or restarts it after killEntry or stop, and lists its host
// as live.
func (f *fleet) startEntry(e *entry) {
	text := fmt.Sprintf("Entry: %s\nZone: %s\nCallerAddress: %s\nOperatorAddress: %s\nPeerAddress: %s\nPeerListen: %s\n"+
		"PlatformURL: http://%s\nOperatorToken: %s\nLeaseMs: %d\nPollMs: 500\nGossipMs: 300\nStopNoticeMs: 300\n",
		e.name, e.zone, e.callerAddress, e.operatorAddress, e.peerProxy.Listen, e.peerListen, e.platformProxy.Listen, operatorToken, leaseDuration.Milliseconds())
	if peers := f.peerAddresses(e); len(peers) > 0 {
		text += "Peers: [" + strings.Join(peers, ", ") + "]\n"
	}
	file := filepath.Join(f.dir, e.name+".yaml")
	require.NoError(f.t, os.WriteFile(file, []byte(text), 0o600))
	e.process = startProcess(f.t, f.dir+"/"+e.name+".log", "quetzalentry", "run", "--settings", file)
	f.setListedState(e.name, "Live")
}

// peerAddresses returns the addresses of the proxies in front of the other entries of an entry's zone.
func (f *fleet) peerAddresses(e *entry) []string {
	var list []string
	for _, other := range f.entries {
		if other.zone == e.zone && other != e {
			list = append(list, other.peerProxy.Listen)
		}
	}
	return list
}

// killEntry sends SIGKILL to an entry's process and lists its host as gone.
func (f *fleet) killEntry(e *entry) {
	e.signal(f.t, syscall.SIGKILL)
	<-e.exited
	f.setListedState(e.name, "Gone")
}

// setListedState sets the state of a host in the platform's list.
func (f *fleet) setListedState(host, state string) {
	f.putJSON(f.platformAdminURL+"/hosts", quetzalwire.HostRegistration{Host: host, State: quetzalwire.HostRegistrationState(state)})
}

// setPlatformFaults replaces the injected faults of the platform.
func (f *fleet) setPlatformFaults(v quetzalwire.Faults) { f.putJSON(f.platformAdminURL+"/faults", v) }

// setMinionFaults replaces the injected faults of a minion.
func (f *fleet) setMinionFaults(zone, host string, v quetzalwire.MinionFaults) {
	f.putJSON(f.minionAdminURLs[zone]+"/minions/"+host+"/faults", v)
}

func (f *fleet) putJSON(url string, doc any) {
	f.t.Helper()
	body, err := json.Marshal(doc)
	require.NoError(f.t, err)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPut, url, bytes.NewReader(body))
	require.NoError(f.t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	require.NoError(f.t, res.Body.Close())
}

// waitForOK waits until a URL answers 200.
func (f *fleet) waitForOK(url string) {
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

// waitForHosts waits until every entry knows n hosts.
func (f *fleet) waitForHosts(n int) {
	f.t.Helper()
	for _, e := range f.entries {
		require.Eventually(f.t, func() bool {
			var s quetzalwire.EntryStatus
			return f.getJSON(e, "/status", &s) && s.Hosts == n
		}, 10*time.Second, 50*time.Millisecond)
	}
}

// getJSON gets a document from an entry's operators' API and reports whether that succeeded.
func (f *fleet) getJSON(e *entry, path string, v any) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.operatorAddress+path, nil)
	require.NoError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close() //nolint:errcheck // the body was read
	text, err := io.ReadAll(res.Body)
	return err == nil && res.StatusCode == http.StatusOK && json.Unmarshal(text, v) == nil
}

// runCtl runs quetzalctl against an entry and returns its output.
func (f *fleet) runCtl(e *entry, args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(binDir, "quetzalctl"), args...)
	cmd.Env = append(os.Environ(), "QUETZAL_ENTRY=http://"+e.operatorAddress, "QUETZAL_TOKEN="+operatorToken)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// dutyHolder waits for an entry of a zone that holds the zone's duty lease and returns it.
func (f *fleet) dutyHolder(zone string) *entry {
	f.t.Helper()
	var found *entry
	require.Eventually(f.t, func() bool {
		for _, e := range f.entries {
			var s quetzalwire.EntryStatus
			if e.zone == zone && f.getJSON(e, "/status", &s) && s.HoldsDuty {
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
		urls = append(urls, "http://"+e.callerAddress)
	}
	return urls
}

// loadTest is a load test that runs in the background.
type loadTest struct {
	fleet   *fleet
	results *quetzaltable.Table[quetzalsender.Result]
	done    chan struct{}
}

// loadSpec returns the load that tests start from: short requests with ids chosen by the caller,
// half of them idempotent.
func loadSpec(seed uint64, d time.Duration) *quetzalarrival.Spec {
	return &quetzalarrival.Spec{
		Queues: []queueID{"proofs"}, Rate: 120, Duration: d, Profile: quetzalarrival.Flat{}, Idempotent: 50,
		ShortRun: 20 * time.Millisecond, Timeout: 6 * time.Second, OwnIDs: true, Seed: seed,
	}
}

// startLoad starts a load test against the given entries.
func (f *fleet) startLoad(s *quetzalarrival.Spec, urls []string) *loadTest {
	sender, cleanup := quetzalsender.New(urls)
	sender.BodyBytes = 40
	l := &loadTest{fleet: f, done: make(chan struct{})}
	go func() {
		defer close(l.done)
		defer cleanup()
		l.results = sender.Send(quetzalarrival.Plan(s))
	}()
	return l
}

// evaluate waits for the end of the load test and compares its answers with the minions' records.
func (l *loadTest) evaluate() quetzalcheck.Summary {
	l.fleet.t.Helper()
	<-l.done
	var admins []string
	for _, url := range l.fleet.minionAdminURLs {
		admins = append(admins, url)
	}
	runs, err := quetzalcheck.ReadRuns(context.Background(), admins)
	require.NoError(l.fleet.t, err)
	summary := quetzalcheck.Check(l.results, runs)
	l.fleet.t.Log(summary.String())
	return summary
}

// longestGap returns the longest time between two answers of requests that ran.
func (l *loadTest) longestGap() time.Duration {
	var ends []time.Duration
	for _, r := range l.results.All() {
		if r.Outcome == quetzalsender.Ran {
			ends = append(ends, r.At+r.Latency)
		}
	}
	return maxGap(ends)
}

func decodeJSON(r io.Reader, v any) error { return json.NewDecoder(r).Decode(v) }
