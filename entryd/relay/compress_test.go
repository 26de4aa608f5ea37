package relay

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"github.com/klauspost/compress/s2"

	"lentilstage.dev/domain/setup"
)

// manyRecords returns registrations as endpoints write them.
func manyRecords(count int) []Record {
	var records []Record
	for i := range count {
		records = append(records, Record{Offset: int64(i), Key: fmt.Sprintf("i-%08x", i*2654435761), Value: fmt.Appendf(nil,
			`{"service":"pool","address":"10.1.%d.%d:8069","zone":"tt-north-a","version":"v1","slots":12,"state":"draining","cold_remaining_ms":0,`+
				`"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"sequence":%d,"born":17872%08d,"spot":true}`, i/250, i%250, i%7, i*977)})
	}
	return records
}

// TestChangesFitLinks guards against hubs that fill their links when a fleet is replaced, so that datagrams are lost
// and followers learn seconds later that endpoints leave.
func TestChangesFitLinks(t *testing.T) {
	t.Parallel()
	// A hub of 60 followers sends each of 300 changes to all of them. On a link of 20 Mbit/s that must take
	// less than a second.
	const limit = 20_000_000 / 8 * maxChangesPerMessage / 60 / 300
	m := message{Daemon: "entry-1", Put: manyRecords(maxChangesPerMessage)}
	data := encode(&Daemon{}, m)
	if len(data) > limit {
		t.Errorf("%d changes take %d bytes, want at most %d", len(m.Put), len(data), limit)
	}
	got, _, err := decodeDatagram(data)
	if err != nil || !reflect.DeepEqual(got.Put, m.Put) {
		t.Errorf("decoded %d of %d changes, error %v", len(got.Put), len(m.Put), err)
	}
}

// TestCompressedDatagrams guards against a datagram that takes much memory, or stops the daemon, when it is
// decompressed.
func TestCompressedDatagrams(t *testing.T) {
	t.Parallel()
	huge := s2.Encode(nil, make([]byte, maxMessageBytes+1))
	for name, body := range map[string][]byte{
		"too long": append([]byte{compressedMark}, huge...),
		"garbage":  {compressedMark, 1, 2, 3},
		"empty":    {compressedMark},
		"no body":  {},
	} {
		if _, _, err := decodeDatagram(append(binary.BigEndian.AppendUint64(nil, 7), body...)); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// TestSnapshotsAreCompressed guards against snapshots that fill the link of a hub whose followers all ask for one.
func TestSnapshotsAreCompressed(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	d := newTestDaemon(t, &now)
	config, err := setup.New(1, nil, nil, nil, setup.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	d.tables.applyConfig(config, Record{Key: "config"}, now)
	d.tables.listed, d.tables.operatorsListed = true, true
	for _, r := range manyRecords(300) {
		d.tables.records[Endpoints][r.Key] = r
	}
	sent := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		d.serveControl(recorder, r)
		sent = recorder.Body.Len()
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		_, _ = io.Copy(w, recorder.Body)
	}))
	defer server.Close()
	s, err := fetchSnapshot(t.Context(), server.Listener.Addr().String(), "")
	if err != nil || len(s.Endpoints) != 300 {
		t.Fatalf("snapshot of %d endpoints, error %v", len(s.Endpoints), err)
	}
	plain, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	if sent > len(plain)/4 {
		t.Errorf("the snapshot took %d bytes of %d, want at most a quarter", sent, len(plain))
	}
}
