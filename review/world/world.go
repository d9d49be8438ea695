// Command review2-world runs the stand-ins of one case of the review beside a real ebony-front: the
// platform's store, backend servers and callers. Its exit status is 1 if the rule of the
// case was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// heartbeat is the interval of the servers' heartbeats.
	heartbeat = 1200 * time.Millisecond
	// host is the host name of all routes.
	host = "shop.example"
)

// record is what was sent, answered and run.
type record struct {
	begin time.Time
	mutex sync.Mutex
	file  *os.File
}

func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, values...))
}

// world holds the stand-ins of one case.
type world struct {
	// ip is the loopback address of all listeners.
	ip      string
	record  *record
	store   *store
	trouble bool

	mutex  sync.Mutex
	fronts []*front
	// ended is set once the case ends: no front is started any more.
	ended bool
}

// hostIP returns a loopback address for a front of its own. Other addresses are used by other
// runs at the same time, since the metrics have a fixed port.
func hostIP(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, number)
}

// stopFronts ends all fronts that were started. No other one is started afterwards.
func (w *world) stopFronts() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ended = true
	for _, f := range w.fronts {
		f.stop()
	}
}

// front is a running ebony-front.
type front struct {
	world   *world
	command *exec.Cmd
	name    string
	caller  string
	ready   string
	control string
	ended   chan struct{}
}

// frontOptions are the settings in which fronts differ. Each needs a loopback address of its
// own for its metrics. The seeds are control addresses of other fronts.
type frontOptions struct {
	name, zone, ip, cpuShare string
	seeds                    []string
	// store is the address of the store; empty for that of the stand-in itself.
	store string
}

// freePorts returns addresses of the ip that nobody listens at.
func freePorts(ip string, count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// settingsOf returns the settings file of a front, with the figures of the small deployments.
func settingsOf(w *world, options frontOptions, addresses, seeds []string) string {
	return strings.Join([]string{
		"NodeName=" + options.name, "Role=front", "MachineClass=front", "Serves=front,control",
		"Ip=" + options.ip, "Zone=" + options.zone, "Region=valle-central",
		"Zones.heredia=valle-central", "Zones.alajuela=valle-central",
		"ListenAddrs.Front=" + addresses[0], "ListenAddrs.Ready=" + addresses[1], "ListenAddrs.Control=" + addresses[2],
		"InternalPorts=7380,7395", "Seeds=" + strings.Join(seeds, ","), "Bootstrap=true",
		"Limits.CpuShare=" + options.cpuShare, "Limits.Cores=1", "Limits.MemoryMb=284", "Limits.MaxFds=4100", "Limits.LinkMbps=1000.0", "Limits.DiskMb=0",
		"Discovery=platform", "Entry=vip", "HeartbeatMs=1200", "Invariants=base,drain,config,cost,retry,recover,scatter,platform",
		"FaultTolerance.Machines=2", "FaultTolerance.Zones=0", "FaultTolerance.Regions=0",
		"Bounds.SeedStalenessS=3", "Bounds.AddrReuseS=2", "Bounds.ContactMs=4000", "Bounds.AckMs=5000", "Bounds.CatchUpS=4",
		"Bounds.DrainMs=3000", "Bounds.GraceS=6", "Bounds.LossSlackMs=200", "Bounds.ConfigApplyMs=3000", "Bounds.RollbackSlackMs=250",
		"Bounds.MaxSkewMs=12000", "Bounds.RetryBudgetRatio=0.2", "Bounds.RetryWindowS=10", "Bounds.RetrySlack=52", "Bounds.RecoveryS=12",
		"platform.Address=" + cmp.Or(options.store, w.store.address), "platform.form=read", "platform.WritesPerS=400", "platform.ReadsPerS=2000",
		"platform.HistoryS=20", "platform.ValueBytes=1048576", "platform.TtlMinMs=1000", "",
	}, "\n")
}

// startFront starts an ebony-front with the command of the deploy file, and waits until it is
// ready. Its log goes to a temporary file.
func startFront(w *world, folder string, options frontOptions) (*front, error) {
	addresses, err := freePorts(options.ip, 3)
	if err != nil {
		return nil, err
	}
	name := options.name
	path := folder + "/" + name + ".conf"
	seeds := append([]string{addresses[2]}, options.seeds...)
	if err := os.WriteFile(path, []byte(settingsOf(w, options, addresses, seeds)), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(folder + "/" + name + ".log")
	if err != nil {
		return nil, err
	}
	f := &front{
		world: w, name: name, caller: addresses[0], ready: addresses[1], control: addresses[2], ended: make(chan struct{}),
		command: exec.Command("target/ebony-front"),
	}
	f.command.Env = []string{"EBONYWORKS_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	f.command.Stdout, f.command.Stderr = log, log
	if err := w.start(f); err != nil {
		return nil, err
	}
	for range 100 {
		time.Sleep(50 * time.Millisecond)
		if f.isReady() {
			w.record.add("front %s is ready", name)
			return f, nil
		}
	}
	return nil, fmt.Errorf("front %s doesn't become ready", name)
}

// start starts the process of a front, unless the case has ended.
func (w *world) start(f *front) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.ended {
		return errors.New("the case has ended")
	}
	if err := f.command.Start(); err != nil {
		return err
	}
	w.fronts = append(w.fronts, f)
	go func() {
		_ = f.command.Wait()
		close(f.ended)
	}()
	return nil
}

func (f *front) isReady() bool {
	response, err := http.Get("http://" + f.ready + "/ebonyworks/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop ends the process.
func (f *front) stop() {
	_ = f.command.Process.Signal(syscall.SIGKILL)
	<-f.ended
}
