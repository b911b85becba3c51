//go:build review

package kit3

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Record is what a case writes to record.txt.
type Record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

// limit is how long a case may run.
const limit = 110 * time.Second

// NewRecord creates the record file. The case ends with a signal, or after the limit.
func NewRecord(path string) *Record {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case s := <-signals:
			Unable("signal %v", s)
		case <-time.After(limit):
			Unable("it takes longer than %s", limit)
		}
	}()
	f, err := os.Create(path)
	if err != nil {
		Unable("%v", err)
	}
	return &Record{began: time.Now(), file: f}
}

// Add writes a line with the time since the start.
func (r *Record) Add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// Since returns a time in seconds since the start.
func (r *Record) Since(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitUnable
)

var (
	running   []*Front
	runningMu sync.Mutex
	folder    string
)

// Unable ends a case that could not run.
func Unable(format string, values ...any) {
	fmt.Printf("the case could not run: "+format+"\n", values...)
	Exit(exitUnable)
}

// Exit ends the processes that the case has started, and the case.
func Exit(code int) {
	runningMu.Lock()
	defer runningMu.Unlock()
	for _, f := range running {
		_ = f.command.Process.Signal(syscall.SIGCONT)
		_ = f.command.Process.Kill()
		<-f.Ended
	}
	if folder != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	}
	os.Exit(code)
}

// Finish ends a case with what was found.
func Finish(r *Record, broken []string) {
	for _, b := range broken {
		r.Add("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		Exit(exitBroken)
	}
	r.Add("held")
	fmt.Println("held")
	Exit(exitHeld)
}

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Front is a process of the program under test.
type Front struct {
	Name, Callers, Ready string
	program, settings    string
	log                  *os.File
	command              *exec.Cmd
	// Ended is closed once the process has ended.
	Ended chan struct{}
}

// freeAddress returns a free loopback address. Outgoing connections, whose addresses the
// system chooses, are of 127.0.0.1.
func freeAddress() string {
	const first, count = 12000, 16000
	for range 100 {
		address := fmt.Sprintf("127.%d.%d.%d:%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254), first+rand.IntN(count))
		if l, err := net.Listen("tcp4", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	Unable("no free address")
	return ""
}

// Start starts a front with the settings that the platform gives a small machine. program is
// the path of the program that the deploy file names.
func Start(p *Platform, program, name, zone string) *Front {
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "review-3-"); err != nil {
			Unable("%v", err)
		}
	}
	f := &Front{Name: name, Callers: freeAddress(), Ready: freeAddress(), Ended: make(chan struct{})}
	address := p.Listen(name)
	settings := filepath.Join(folder, name+".ini")
	text := fmt.Sprintf(`[instance]
name = %s
availabilityZone = %s
firstStart = true
memoryMB = 206
fileDescriptors = 3010
processorShare = 0.272
processorSpeed = 1

[listen]
callers = %s
ready = %s
metrics = %s
peers = %s

[platform]
store = %s
promotions = %s

[shutdown]
graceSeconds = 6

[drain]
limitMilliseconds = 7000
`, name, zone, f.Callers, f.Ready, freeAddress(), freeAddress(), address, address)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		Unable("%v", err)
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		Unable("%v", err)
	}
	f.program, f.settings, f.log = program, settings, log
	f.run()
	runningMu.Lock()
	running = append(running, f)
	runningMu.Unlock()
	return f
}

// run starts the process.
func (f *Front) run() {
	command, ended := exec.Command(f.program), make(chan struct{})
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "OLEANDERFLOW_NODE_FILE=" + f.settings}
	command.Stdout, command.Stderr = f.log, f.log
	if err := command.Start(); err != nil {
		Unable("%v", err)
	}
	f.command, f.Ended = command, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
}

// Restart starts the process again, which has ended.
func (f *Front) Restart(r *Record) {
	<-f.Ended
	r.Add("%s starts again", f.Name)
	runningMu.Lock()
	defer runningMu.Unlock()
	f.run()
}

// Signal sends a signal to the process.
func (f *Front) Signal(r *Record, s syscall.Signal) {
	r.Add("signal %v to %s", s, f.Name)
	_ = f.command.Process.Signal(s)
}

// ResidentMB returns the resident memory of the process in units of 1<<20 bytes.
func (f *Front) ResidentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}

// AwaitReady waits until the front reports that it is ready.
func (f *Front) AwaitReady() {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		r, err := http.Get("http://" + f.Ready + "/readiness")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return
		}
	}
	log, _ := os.ReadFile(filepath.Join(folder, f.Name+".log"))
	Unable("%s is not ready; the end of its log: %s", f.Name, log[max(0, len(log)-3000):])
}

// Client is a client's session.
type Client struct {
	record *Record
	front  string
	conn   net.Conn
	reader *bufio.Reader
}

// Answer is the answer to a statement.
type Answer struct {
	ID, Error, Signature string
	Rows                 []string
	SentAt, AnsweredAt   time.Time
}

// OK reports whether the statement has succeeded.
func (a Answer) OK() bool { return a.Error == "" }

var lastID atomic.Uint64

// Open opens a session.
func Open(r *Record, f *Front, host string) (*Client, error) {
	c, err := net.DialTimeout("tcp4", f.Callers, 2*time.Second)
	if err != nil {
		return nil, err
	}
	s := &Client{record: r, front: f.Name, conn: c, reader: bufio.NewReader(c)}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(c, "CONNECT %s u1\r\n", host)
	line, err := readLine(s.reader)
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("refused: %s", line)
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return s, nil
}

// Close ends the session.
func (c *Client) Close() { _ = c.conn.Close() }

// Query sends a statement and waits for its answer, at most for wait.
func (c *Client) Query(text string, wait time.Duration) (Answer, error) {
	a := Answer{ID: fmt.Sprintf("q%04x", lastID.Add(1)), SentAt: time.Now()}
	_ = c.conn.SetDeadline(time.Now().Add(wait))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", a.ID, text); err != nil {
		return a, err
	}
	c.record.Add("client sends %s %s to %s", a.ID, short(text), c.front)
	for {
		line, err := readLine(c.reader)
		if err != nil {
			c.record.Add("client has no answer to %s: %v", a.ID, err)
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.Rows = append(a.Rows, rest)
		case "COMPLETE":
			a.Signature = rest
		case "ERROR":
			a.Error = rest
		case "READY":
			a.AnsweredAt = time.Now()
			c.record.Add("client is answered %s: rows %d, signature %q, error %q, %s", a.ID, len(a.Rows), a.Signature, a.Error, line)
			return a, nil
		}
	}
}

// Write is an acknowledged write.
type Write struct {
	ID, Item, Data string
	AnsweredAt     time.Time
}

// SendWrites sends a write at intervals over one session, as a client does, and passes on
// those that are acknowledged.
func SendWrites(r *Record, f *Front, host string, interval time.Duration, acknowledged chan<- Write) {
	var c *Client
	for i := 0; ; i++ {
		time.Sleep(interval)
		if c == nil {
			var err error
			if c, err = Open(r, f, host); err != nil {
				c = nil
				continue
			}
		}
		data := fmt.Sprint("v", i)
		a, err := c.Query("WRITE "+f.Name+" "+data, time.Second)
		switch {
		case err != nil:
			c.Close()
			c = nil
		case a.OK():
			acknowledged <- Write{a.ID, f.Name, data, a.AnsweredAt}
		}
	}
}

// SendReads sends a read at intervals, each over a session of its own.
func SendReads(r *Record, f *Front, host string, interval time.Duration) {
	for ; ; time.Sleep(interval) {
		c, err := Open(r, f, host)
		if err != nil {
			continue
		}
		_, _ = c.Query("READ "+f.Name, 2*time.Second)
		c.Close()
	}
}
