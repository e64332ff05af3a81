package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports are the same on all machines. Each machine has a loopback address of its own.
const (
	portReady    = 21140
	portOutbound = 21141
	portControl  = 21146
	portServer   = 21147
	firstPort    = 21160
)

// defaultRestartDelay is the time after which a process that has ended is started again.
const defaultRestartDelay = 300 * time.Millisecond

// machine is one machine of the platform with its process.
type machine struct {
	name, zone, ip, role, service string
	settings                      map[string]string
	p                             *platform

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// down is true while the process is not to be started again.
	down bool
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// platform starts the project's programs with the commands of the deploy file.
type platform struct {
	root, folder string
	record       *record
	machines     []*machine
	stopping     atomic.Bool
	running      sync.WaitGroup
	restartDelay time.Duration
}

var network = fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, 1+os.Getpid()/128%250)

// newPlatform lays out the machines: control members with a disk, of which losses may be lost,
// and a sidecar machine for each entry of services.
func newPlatform(rec *record, root string, controls, losses int, services []string) (*platform, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	p := &platform{root: root, folder: folder, record: rec, restartDelay: defaultRestartDelay}
	zones := []string{"amman-a", "amman-b", "amman-c"}
	var seeds []string
	for i := range min(controls, 3) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", network, 10+i, portControl))
	}
	for i := range controls {
		m := &machine{name: fmt.Sprintf("core-%d", i+1), zone: zones[i%3], ip: fmt.Sprintf("%s.%d", network, 10+i), role: "control", p: p}
		m.settings = map[string]string{
			"limits.memoryMb": "280", "limits.cpuShare": "0.24", "bootstrap": "true", "faultTolerance.machines": fmt.Sprint(losses),
			"dataDir": filepath.Join(folder, m.name), "listen.control": m.address(portControl),
		}
		p.machines = append(p.machines, m)
	}
	for i, service := range services {
		m := &machine{name: fmt.Sprintf("sidecar-%d", i+1), zone: zones[i%3], ip: fmt.Sprintf("%s.%d", network, 50+i), role: "node", service: service, p: p}
		m.settings = map[string]string{
			"limits.memoryMb": "284", "limits.linkMbps": "1000.0", "service": service, "appAddr": m.address(portServer),
			"listen.outbound": m.address(portOutbound), "listen.ready": m.address(portReady), "listen.control": m.address(portControl),
			"heartbeatMs": "870", "bounds.drainMs": "2000", "bounds.evacMs": "5000", "bounds.propagationMs": "2000", "bounds.holdMaxMs": "10000", "bounds.graceS": "6",
		}
		p.machines = append(p.machines, m)
	}
	for _, m := range p.machines {
		for name, value := range map[string]string{
			"node": m.name, "region": "amman", "zone": m.zone, "ip": m.ip,
			"internalPortRange.0": fmt.Sprint(firstPort), "seeds": strings.Join(seeds, ","),
		} {
			m.settings[name] = value
		}
	}
	return p, nil
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z.0-9]+)\}\}`)

// fill replaces the placeholders of a template.
func (m *machine) fill(text string) string {
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		value, known := m.settings[strings.Trim(s, "{}")]
		if !known {
			panic("no value for the placeholder " + s)
		}
		return value
	})
}

// command returns the words of "run" of the role in the deploy file.
func (m *machine) command() ([]string, string, error) {
	data, err := os.ReadFile(filepath.Join(m.p.root, "deploy", "system.toml"))
	if err != nil {
		return nil, "", err
	}
	_, section, found := strings.Cut(string(data), "[roles."+m.role+"]")
	if !found {
		return nil, "", fmt.Errorf("the deploy file has no role %s", m.role)
	}
	section, _, _ = strings.Cut(section, "\n[")
	field := func(name string) string {
		for line := range strings.Lines(section) {
			if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == name {
				return strings.Trim(strings.TrimSpace(value), `"`)
			}
		}
		return ""
	}
	template, err := os.ReadFile(filepath.Join(m.p.root, field("template")))
	if err != nil {
		return nil, "", err
	}
	return strings.Fields(m.fill(field("run"))), m.fill(string(template)), nil
}

// start starts the process of the machine.
func (m *machine) start() error {
	words, settings, err := m.command()
	if err != nil {
		return err
	}
	file := filepath.Join(m.p.folder, m.name+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	if m.role == "control" {
		if err := os.MkdirAll(m.settings["dataDir"], 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(m.p.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(filepath.Join(m.p.root, words[0]), words[1:]...)
	c.Dir, c.Stdout, c.Stderr = m.p.root, log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JUJUBEKNOT_BOOT=" + file}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended, m.down = c, ended, false
	m.mu.Unlock()
	m.settings["bootstrap"] = "false"
	m.p.running.Go(func() {
		state := c.Wait()
		m.p.record.add("platform", "%s: process ended: %v", m.name, state)
		close(ended)
		m.mu.Lock()
		down := m.down
		m.mu.Unlock()
		if down || m.p.stopping.Load() {
			return
		}
		time.Sleep(m.p.restartDelay)
		if !m.p.stopping.Load() {
			if err := m.start(); err != nil {
				m.p.record.add("platform", "%s: %v", m.name, err)
			}
		}
	})
	m.p.record.add("platform", "%s: started", m.name)
	return nil
}

// signal sends a signal to the process of the machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.p.record.add("platform", "%s: %v", m.name, s)
	_ = m.process.Process.Signal(s)
}

func (p *platform) startAll() error {
	for _, m := range p.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// stopAll ends all processes.
func (p *platform) stopAll() {
	p.stopping.Store(true)
	for _, m := range p.machines {
		m.mu.Lock()
		if m.process != nil {
			_ = m.process.Process.Signal(syscall.SIGCONT)
			_ = m.process.Process.Kill()
		}
		m.mu.Unlock()
	}
	p.running.Wait()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(p.folder)
	} else {
		fmt.Println("logs in", p.folder)
	}
}

func (p *platform) nodes() []*machine { return p.withRole("node") }

func (p *platform) controls() []*machine { return p.withRole("control") }

func (p *platform) withRole(role string) []*machine {
	var list []*machine
	for _, m := range p.machines {
		if m.role == role {
			list = append(list, m)
		}
	}
	return list
}

// ready reports whether the node of a machine answers the platform's question with 200.
func (m *machine) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	r, err := c.Get("http://" + m.address(portReady) + "/-/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// order sends an operator's call until it is acknowledged, for at most the given time. It
// begins with the given control machine and follows redirects twice.
func (p *platform) order(first int, method, path string, body []byte, limit time.Duration) ([]byte, error) {
	list := p.controls()
	begun := time.Now()
	for i := first; ; i++ {
		answer, status, err := p.call(list[i%len(list)], method, path, body)
		if err == nil && status == http.StatusOK {
			p.record.add("operator", "%s %s acknowledged by %s", method, path, list[i%len(list)].name)
			return answer, nil
		}
		if err == nil && (status == http.StatusBadRequest || status == http.StatusConflict) {
			return nil, fmt.Errorf("%s %s: status %d: %s", method, path, status, answer)
		}
		if time.Since(begun) > limit {
			return nil, fmt.Errorf("%s %s: not acknowledged within %v: status %d, %v", method, path, limit, status, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (p *platform) call(m *machine, method, path string, body []byte) ([]byte, int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	redirects := 0
	c := http.Client{CheckRedirect: func(*http.Request, []*http.Request) error {
		if redirects++; redirects > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+m.address(portControl)+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := c.Do(q)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = r.Body.Close() }()
	answer, err := io.ReadAll(r.Body)
	return answer, r.StatusCode, err
}

// route and service are parts of a configuration.
type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"pathPrefix"`
	Kind            string  `json:"kind"`
	TimeoutMs       float64 `json:"timeoutMs"`
	TargetLatencyMs float64 `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"maxAttempts"`
}

type service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"healthPath"`
	MaxConnections int     `json:"maxConnections"`
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	ColdStartS     float64 `json:"coldStartS"`
	ColdPerS       float64 `json:"coldPerS"`
	Sharded        bool    `json:"sharded,omitempty"`
	WarmS          float64 `json:"warmS,omitempty"`
	Grants         string  `json:"grants,omitempty"`
}

func configuration(version int, routes []route, services []service) []byte {
	b, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	return b
}
