package main

import (
	"fmt"
	"math/rand"
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

// network is a prefix of loopback addresses, so that several runs don't collide.
var network = func() string { return fmt.Sprintf("127.%d.%d", 20+rand.Intn(200), rand.Intn(250)) }()

// front is an entry host.
type front struct {
	name, zone, ip string
	command        *exec.Cmd
	// misses counts the readiness checks in a row without a 200; notReady is set after
	// two of them.
	misses   int
	notReady atomic.Bool
}

var (
	fronts     []*front
	frontMutex sync.Mutex
	temporary  string
)

func (f *front) caller() string    { return f.ip + ":8104" }
func (f *front) readiness() string { return f.ip + ":8108" }

// zones are those of the site retazos-cr, and its hosts.
var zones = []string{"heredia", "alajuela", "cartago", "san-jose"}

// layout has the zone of each host; the first three are the seeds.
var layout = []string{"heredia", "alajuela", "cartago", "san-jose", "heredia", "alajuela"}

// addFronts defines the hosts.
func addFronts(zones []string) {
	count := make(map[string]int)
	for i, zone := range zones {
		count[zone]++
		fronts = append(fronts, &front{name: fmt.Sprintf("front-%s-%d", zone, count[zone]), zone: zone, ip: fmt.Sprintf("%s.%d", network, 10+i)})
	}
}

// settings returns the settings file of the host.
func (f *front) settings(storeAddress string, bootstrap bool) string {
	var seeds []string
	for _, seed := range fronts[:3] {
		seeds = append(seeds, seed.ip+":8106")
	}
	lines := []string{
		"NodeName=" + f.name, "Role=front", "MachineClass=front", "Serves=front,control", "Ip=" + f.ip,
		"Zone=" + f.zone, "Region=valle-central",
		"ListenAddrs.Front=" + f.caller(), "ListenAddrs.Ready=" + f.readiness(), "ListenAddrs.Control=" + f.ip + ":8106",
		"InternalPorts=7380,7395", "Seeds=" + strings.Join(seeds, ","), fmt.Sprintf("Bootstrap=%v", bootstrap),
		"CountsTowardFaults=false", "Limits.CpuShare=0.4", "Limits.Cores=1", "Limits.MemoryMb=284", "Limits.MaxFds=4100",
		"Limits.LinkMbps=1000.0", "Limits.DiskMb=0", "Discovery=platform", "Entry=vip", "HeartbeatMs=1200",
		"Invariants=base,drain,config,cost,retry,recover,scatter,platform",
		"FaultTolerance.Machines=2", "FaultTolerance.Zones=0", "FaultTolerance.Regions=0",
		"Bounds.SeedStalenessS=3", "Bounds.AddrReuseS=2", "Bounds.ContactMs=4000", "Bounds.AckMs=5000", "Bounds.CatchUpS=4",
		"Bounds.DrainMs=3000", "Bounds.GraceS=6", "Bounds.LossSlackMs=200", "Bounds.ConfigApplyMs=3000",
		"Bounds.RollbackSlackMs=250", "Bounds.MaxSkewMs=12000", "Bounds.RetryBudgetRatio=0.2", "Bounds.RetryWindowS=10",
		"Bounds.RetrySlack=52", "Bounds.RecoveryS=12",
		"platform.Address=" + storeAddress, "platform.form=read", "platform.WritesPerS=400", "platform.ReadsPerS=2000",
		"platform.HistoryS=20", "platform.ValueBytes=1048576", "platform.TtlMinMs=1000",
	}
	for _, zone := range zones {
		lines = append(lines, "Zones."+zone+"=valle-central")
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process of the host, as the deploy file says.
func (f *front) start(storeAddress string, bootstrap bool) {
	frontMutex.Lock()
	defer frontMutex.Unlock()
	if temporary == "" {
		created, err := os.MkdirTemp("", "review")
		must(err)
		temporary = created
	}
	path := filepath.Join(temporary, f.name+".conf")
	must(os.WriteFile(path, []byte(f.settings(storeAddress, bootstrap)), 0o600))
	output, err := os.Create(filepath.Join(temporary, f.name+".log"))
	must(err)
	f.command = exec.Command("target/ebony-front")
	f.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + temporary, "LANG=C", "EBONYWORKS_BOOT=" + path}
	f.command.Stdout, f.command.Stderr = output, output
	must(f.command.Start())
	record.logf("front %s started", f.name)
}

// killFronts kills all hosts at the same moment.
func killFronts() {
	for _, f := range fronts {
		must(f.command.Process.Kill())
	}
	for _, f := range fronts {
		_ = f.command.Wait()
	}
	record.logf("all fronts killed")
}

// stopFronts ends all processes that were started, and removes the temporary folder.
func stopFronts() {
	frontMutex.Lock()
	defer frontMutex.Unlock()
	for _, f := range fronts {
		if f.command != nil && f.command.Process != nil {
			_ = f.command.Process.Kill()
			_ = f.command.Wait()
			f.command = nil
		}
	}
	if temporary != "" && os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(temporary)
	} else if temporary != "" {
		fmt.Println("logs:", temporary)
	}
}

// balance checks the readiness of the hosts once a second, as the platform does.
func balance() {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for range time.Tick(time.Second) {
		for _, f := range fronts {
			go func() {
				response, err := client.Get("http://" + f.readiness() + "/ebonyworks/ready")
				ready := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				if ready {
					f.misses = 0
				} else {
					f.misses++
				}
				if was := f.notReady.Swap(f.misses >= 2); was != (f.misses >= 2) {
					record.logf("front %s in rotation: %v", f.name, f.misses < 2)
				}
			}()
		}
	}
}

// pick returns the host for a new connection: one of those in rotation, or any if fewer
// than half of them are.
func pick() *front {
	var rotation []*front
	for _, f := range fronts {
		if !f.notReady.Load() {
			rotation = append(rotation, f)
		}
	}
	if 2*len(rotation) < len(fronts) {
		rotation = fronts
	}
	return rotation[rand.Intn(len(rotation))]
}

// freePorts reports whether the network prefix can be used.
func freePorts() error {
	listener, err := net.Listen("tcp", network+".10:9464")
	if err != nil {
		return err
	}
	return listener.Close()
}
