//go:build review

package kit3

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowsResponse struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"more_pages"`
	Version uint64 `json:"row_version"`
	Now     int64  `json:"now_ms"`
}

// Promotion is a promotion call that the platform has seen.
type Promotion struct {
	At       time.Time
	Holder   string
	Token    uint64
	Database string
	Status   int
}

// Platform is the metadata store and the promotion call. Each front has an address of its
// own for both, so that single fronts can be turned away.
type Platform struct {
	Group  *Group
	Record *Record

	mu       sync.Mutex
	rows     map[string]row
	version  uint64
	changed  chan struct{}
	refused  map[string]bool
	busy     bool
	calls    []Promotion
	sequence int
	beats    map[string]string
	began    time.Time
	done     chan struct{}
}

// heartbeat is the interval at which databases register.
const heartbeat = 1200 * time.Millisecond

// NewPlatform starts a platform with the configuration of one service.
func NewPlatform(g *Group, routes []map[string]any) *Platform {
	sync := 0
	if g.Sync {
		sync = 1
	}
	p := &Platform{Group: g, Record: g.Record, rows: make(map[string]row), changed: make(chan struct{}), refused: make(map[string]bool), beats: make(map[string]string), began: time.Now(), done: make(chan struct{})}
	p.write("op", "config", map[string]any{
		"version": 7, "routes": routes,
		"services": []map[string]any{{"name": g.Name, "health_path": "/health", "connection_limit": connectionLimit, "protocol": "h1", "transport_security": false, "sync_replicas": sync}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "transaction_idle_ms": 3000},
	})
	go p.register()
	return p
}

// Refuse sets whether the store turns a front away with 503.
func (p *Platform) Refuse(front string, refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused[front] = refuse
	p.notifyLocked()
	p.Record.Add("store turns %s away: %v", front, refuse)
}

// SetBusy sets whether the promotion call is answered with 503.
func (p *Platform) SetBusy(busy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = busy
	p.Record.Add("promotion call answered with 503: %v", busy)
}

// Promotions returns the promotion calls so far.
func (p *Platform) Promotions() []Promotion {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.calls)
}

func (p *Platform) notifyLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) write(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.rows[table+"/"+key] = row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(text), Version: p.version}
	p.notifyLocked()
}

// register writes the entries of the databases: at once if something has changed, otherwise
// with each heartbeat.
func (p *Platform) register() {
	written := make(map[string]time.Time)
	for {
		for _, d := range p.Group.Databases() {
			role, up := d.Role()
			if !up || p.beats[d.ID] == role && time.Since(written[d.ID]) < heartbeat {
				if !up && time.Since(written[d.ID]) >= 3*heartbeat && p.beats[d.ID] != "" {
					p.mu.Lock()
					p.version++
					p.rows["servers/"+d.ID] = row{Table: "servers", Key: d.ID, Version: p.version, Deleted: true}
					p.notifyLocked()
					p.mu.Unlock()
					p.beats[d.ID] = ""
				}
				continue
			}
			p.sequence++
			p.beats[d.ID], written[d.ID] = role, time.Now()
			p.write("servers", d.ID, map[string]any{
				"service": p.Group.Name, "address": d.Address, "zone": d.Zone, "version": "v1", "slots": 3, "state": "ready",
				"cold_remaining_ms": 0, "database_role": role, "sequence": p.sequence, "born": d.born,
			})
		}
		select {
		case <-p.done:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Listen serves the store and the promotion call for a front, and returns the address.
func (p *Platform) Listen(front string) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/rows-get", p.get)
	mux.HandleFunc("/rows-feed", func(w http.ResponseWriter, r *http.Request) { p.feed(front, w, r) })
	mux.HandleFunc("/rows-tx", p.transact)
	handler := http.NewServeMux()
	handler.HandleFunc("/promotion", p.promote)
	handler.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if p.refuses(front) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
	go func() { _ = http.Serve(l, handler) }()
	return l.Addr().String()
}

func (p *Platform) refuses(front string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused[front]
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// tableLocked returns the rows of a table that changed after a version.
func (p *Platform) tableLocked(table string, after uint64, deleted bool) rowsResponse {
	list := []row{}
	for _, r := range p.rows {
		if r.Table == table && r.Version > after && (deleted || !r.Deleted) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	return rowsResponse{Rows: list, Version: p.version, Now: time.Since(p.began).Milliseconds()}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	body := p.tableLocked(r.URL.Query().Get("table"), 0, false)
	p.mu.Unlock()
	if from := r.URL.Query().Get("from"); from != "" {
		body.Rows = slices.DeleteFunc(body.Rows, func(r row) bool { return r.Key < from })
	}
	respond(w, http.StatusOK, body)
}

func (p *Platform) feed(front string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		p.mu.Lock()
		refused := p.refused[front]
		body, changed := p.tableLocked(q.Get("table"), after, true), p.changed
		p.mu.Unlock()
		if refused {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(body.Rows) > 0 {
			respond(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			respond(w, http.StatusOK, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) transact(w http.ResponseWriter, r *http.Request) {
	var t struct{ Expected, Upserts, Remove []row }
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(8 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	conflict := rowsResponse{Rows: []row{}, Version: p.version}
	for _, e := range t.Expected {
		current := p.rows[e.Table+"/"+e.Key]
		if current.Deleted {
			current = row{Table: e.Table, Key: e.Key}
		}
		if current.Version != e.Version {
			conflict.Rows = append(conflict.Rows, current)
		}
	}
	if len(conflict.Rows) > 0 {
		respond(w, http.StatusPreconditionFailed, conflict)
		return
	}
	p.version++
	for _, u := range t.Upserts {
		p.rows[u.Table+"/"+u.Key] = row{Table: u.Table, Part: u.Part, Key: u.Key, Value: u.Value, Version: p.version}
		if value, err := base64.StdEncoding.DecodeString(u.Value); err == nil && len(t.Expected) > 0 {
			p.Record.Add("store: %s/%s = %s at version %d", u.Table, u.Key, value, p.version)
		}
	}
	for _, d := range t.Remove {
		p.rows[d.Table+"/"+d.Key] = row{Table: d.Table, Key: d.Key, Version: p.version, Deleted: true}
	}
	p.notifyLocked()
	respond(w, http.StatusOK, rowsResponse{Rows: []row{}, Version: p.version})
}

func (p *Platform) promote(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, Identifier string }
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call := Promotion{At: time.Now(), Holder: r.Header.Get("X-Duty-Holder"), Database: body.Identifier, Status: http.StatusOK}
	call.Token, _ = strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	p.mu.Lock()
	busy := p.busy
	p.mu.Unlock()
	switch {
	case busy:
		call.Status = http.StatusServiceUnavailable
	case body.Service != p.Group.Name || !p.Group.Promote(body.Identifier):
		call.Status = http.StatusConflict
	}
	p.mu.Lock()
	p.calls = append(p.calls, call)
	p.mu.Unlock()
	p.Record.Add("promotion call by %s with token %d for %s answered with %d", call.Holder, call.Token, call.Database, call.Status)
	w.WriteHeader(call.Status)
}
