package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// store is the platform's log: topics with one partition, conditional appends, reads that wait, and the newest record
	// of each key.
	store struct {
		mutex   sync.Mutex
		topics  map[string]*topic
		changed chan struct{}
		// beats holds when each replica last wrote its entry.
		beats map[string]time.Time
	}

	topic struct {
		records []record
		newest  map[string]entry
	}

	record struct {
		key   string
		value []byte
	}

	entry struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
)

// expiry is the silence after which the store removes a replica's entry: three status report intervals.
const expiry = 3 * heartbeat

func newStore() *store {
	return &store{topics: map[string]*topic{}, changed: make(chan struct{}), beats: map[string]time.Time{}}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]entry{}}
		s.topics[name] = t
	}
	return t
}

// put appends a record and returns its offset. A nil value drops the key. The mutex must be locked.
func (s *store) put(name, key string, value []byte) int64 {
	t := s.topic(name)
	offset := int64(len(t.records))
	t.records = append(t.records, record{key, value})
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = entry{key, value, offset}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// write appends a record of the operator.
func (s *store) write(name, key string, value any) {
	text, err := json.Marshal(value)
	check(err)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.put(name, key, text)
}

// beat writes a replica's entry.
func (s *store) beat(id string, value any) {
	s.write(names["servers"], id, value)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.beats[id] = time.Now()
}

// remove drops a replica's entry.
func (s *store) remove(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.beats, id)
	s.put(names["servers"], id, nil)
}

// expire removes the entries of replicas that have been silent for too long, until the end of the run.
func (s *store) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mutex.Lock()
		for id, at := range s.beats {
			if time.Since(at) > expiry {
				delete(s.beats, id)
				s.put(names["servers"], id, nil)
			}
		}
		s.mutex.Unlock()
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	switch r.URL.Path {
	case names["append"]:
		s.serveAppend(w, r)
	case names["read"]:
		s.serveRead(w, r)
	case names["newest"]:
		s.serveNewest(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	name := r.URL.Query().Get("topic")
	if err != nil || len(body) < 5 || int(binary.BigEndian.Uint32(body)) != len(body)-4 || len(body) < 5+int(body[4]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == names["operators"] || name == names["servers"] {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mutex.Lock()
	end := int64(len(s.topic(name).records))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(end, 10) {
		s.mutex.Unlock()
		answerJSON(w, http.StatusPreconditionFailed, map[string]int64{"end_offset": end})
		return
	}
	split := 5 + int(body[4])
	offset := s.put(name, string(body[5:split]), slices.Clone(body[split:]))
	s.mutex.Unlock()
	answerJSON(w, http.StatusOK, map[string]int64{"offset": offset, "end_offset": offset + 1})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := wait > 0; ; {
		s.mutex.Lock()
		t, changed := s.topic(query.Get("topic")), s.changed
		end := int64(len(t.records))
		if from > end {
			s.mutex.Unlock()
			answerJSON(w, http.StatusGone, map[string]int64{"first_offset": 0})
			return
		}
		if from < end || !waiting {
			page := binary.BigEndian.AppendUint64(nil, uint64(end))
			page = binary.BigEndian.AppendUint64(page, 0)
			for _, m := range t.records[from:] {
				page = binary.BigEndian.AppendUint32(page, uint32(1+len(m.key)+len(m.value)))
				page = append(append(append(page, byte(len(m.key))), m.key...), m.value...)
			}
			s.mutex.Unlock()
			_, _ = w.Write(page)
			return
		}
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	entries := []entry{}
	for key, e := range t.newest {
		if key > r.URL.Query().Get("after") {
			entries = append(entries, e)
		}
	}
	end := len(t.records)
	s.mutex.Unlock()
	slices.SortFunc(entries, func(a, b entry) int { return strings.Compare(a.Key, b.Key) })
	more := len(entries) > 500
	if more {
		entries = entries[:500]
	}
	answerJSON(w, http.StatusOK, map[string]any{"entries": entries, "has_more": more, "end_offset": end})
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
