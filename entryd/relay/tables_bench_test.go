package relay

import (
	"fmt"
	"testing"
	"time"

	"lentilstage.dev/domain/setup"
)

// BenchmarkPlaceAtHub places a request at a hub of 83 daemons and 147 endpoints, the size of the
// larger deployment.
func BenchmarkPlaceAtHub(b *testing.B) {
	const daemons, endpoints, open = 83, 147, 12
	now := time.Unix(1000, 0)
	tables := newTables(Settings{Name: "entry-0", Limits: Limits{CacheReuseWindow: time.Second}}, "first")
	config, err := setup.New(1,
		[]setup.Route{{Name: "r", Host: "h", Prefix: "/", ServiceWeights: []setup.ServiceWeight{{Service: "pool", Weight: 1}}}},
		[]setup.Service{{Name: "pool", Engine: &setup.Engine{Slots: 12, KVCacheTokens: 300000}}}, nil, setup.Limits{})
	if err != nil {
		b.Fatal(err)
	}
	tables.applyConfig(config, Record{Key: "config"}, now)
	var ids []string
	for i := range endpoints {
		id := fmt.Sprint("endpoint-", i)
		ids = append(ids, id)
		tables.putEndpoint(Record{Key: id, Offset: int64(i)}, setup.Endpoint{ID: id, Service: "pool", Address: "127.0.0.1:1", Slots: 12, State: setup.Ready}, now)
	}
	for d := 1; d < daemons; d++ {
		loads := map[uint32]load{}
		for i := range open {
			loads[shortID(ids[(d*7+i*13)%endpoints])] = load{Requests: 1, Reading: 500, Memory: 5000}
		}
		tables.observe(message{Daemon: fmt.Sprint("entry-", d), Incarnation: "1", Loads: loads}, now.Add(time.Second), now)
	}
	b.ReportAllocs()
	for b.Loop() {
		_, _, placed, ok := tables.place(placeRequest{service: "pool", call: Call{PromptTokens: 4000}, target: time.Second}, now, func() float64 { return 0.5 })
		if !ok {
			b.Fatal("no endpoint")
		}
		tables.release(placed)
	}
}
