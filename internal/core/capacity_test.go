package core

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	dbconn "github.com/oleanderflow/oleanderflow/internal/connection/database"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	callerrequest "github.com/oleanderflow/oleanderflow/internal/request/caller"
	dbrequest "github.com/oleanderflow/oleanderflow/internal/request/database"
	"github.com/oleanderflow/oleanderflow/internal/version/operator"
)

// BenchmarkCapacityDecisionLog measures the cost of logging and counting one
// routing decision.
func BenchmarkCapacityDecisionLog(b *testing.B) {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	p := &Proxy{components: &components{metrics: NewMetrics()}, log: zap.New(zapcore.NewCore(encoder, zapcore.AddSync(io.Discard), zap.InfoLevel)).With(zap.String("proxy", "entry-1"))}
	defer p.metrics.Close()
	d := callerrequest.Decision{Group: "shop1", Database: "b", Reason: dbrequest.ReasonReplica, Outcome: "answered", Waited: 3, MaxAgeSet: true}
	b.ReportAllocs()
	for range b.N {
		p.recordDecision(d)
	}
}

// TestCapacityMessageSizes logs the encoded sizes of the status query and its
// answer, which every probe of a database repeats, and of the configuration
// version that a proxy announces to its peers.
func TestCapacityMessageSizes(t *testing.T) {
	row := &pgproto3.DataRow{}
	description := &pgproto3.RowDescription{}
	for _, c := range [][2]string{
		{"name", "a"}, {"role", "replica"}, {"term", "12"}, {"fenced", "12"},
		{"received", "12/1234567"}, {"applied", "12/1234567"}, {"termStart", "12/1200000"},
	} {
		row.Values = append(row.Values, []byte(c[1]))
		description.Fields = append(description.Fields, pgproto3.FieldDescription{Name: []byte(c[0])})
	}
	statusQuery := encodedSize(t, &pgproto3.Query{String: dbconn.StatusStatement})
	statusResponse := encodedSize(t, description) + encodedSize(t, row) + encodedSize(t, &pgproto3.CommandComplete{CommandTag: []byte("SHOW")}) + encodedSize(t, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	versionMessage, err := json.Marshal(proxy.TellMessage{From: "entry-00001", Version: 123456, Hash: strings.Repeat("a", 64), ChangeID: strings.Repeat("b", 26)})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("status query %d bytes, answer %d bytes; version announcement %d bytes before framing", statusQuery, statusResponse, len(versionMessage))
}

func encodedSize(t *testing.T, m pgproto3.Message) int {
	t.Helper()
	encoded, err := m.Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	return len(encoded)
}

// BenchmarkCapacityOpenGroup measures the heap that a proxy uses for each group
// that it serves: pools, monitor, failover watch and router, before the
// monitor's ring buffer of samples has filled.
func BenchmarkCapacityOpenGroup(b *testing.B) {
	for _, n := range []int{4, 16, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := &Proxy{components: initializeComponents(), log: zap.NewNop(), instance: Instance{Name: "entry-1", Zone: "zone-1"}}
			defer p.components.close()
			config := operator.Default()
			declared := make([]operator.Group, n)
			for i := range declared {
				declared[i].Name = fmt.Sprintf("shop%05d", i)
				for d := range 3 {
					database := operator.Database{Address: fmt.Sprintf("10.0.%d.%d:5432", i, d), Zone: fmt.Sprintf("zone-%d", d)}
					database.Name = string(rune('a' + d))
					declared[i].Databases = append(declared[i].Databases, database)
				}
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			opened := make([]*group, n)
			for i := range declared {
				opened[i] = p.newGroup(&declared[i], config)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for range b.N {
				runtime.KeepAlive(opened)
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(n), "bytes/group")
		})
	}
}
