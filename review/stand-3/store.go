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
	// store is the platform's metadata store, with one partition per topic.
	store struct {
		mutex   sync.Mutex
		topics  map[string]*topic
		changed chan struct{}
	}

	topic struct {
		records []storeRecord
		newest  map[string]storeEntry
	}

	storeRecord struct {
		key   string
		value []byte
	}

	storeEntry struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
)

const (
	storePageEntries = 500
	recordHeadBytes  = 4
)

func newStore() *store { return &store{topics: map[string]*topic{}, changed: make(chan struct{})} }

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]storeEntry{}}
		s.topics[name] = t
	}
	return t
}

// put writes a record as the operator or a replica does; nil removes the key.
func (s *store) put(topicName, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.append(topicName, key, value)
}

func (s *store) append(topicName, key string, value []byte) int {
	t := s.topic(topicName)
	offset := len(t.records)
	t.records = append(t.records, storeRecord{key, value})
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = storeEntry{key, value, offset}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// ServeHTTP serves a call of a daemon.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	if err != nil || len(body) < recordHeadBytes+1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	content := body[recordHeadBytes:]
	keyEnd := 1 + int(content[0])
	if int(binary.BigEndian.Uint32(body)) != len(content) || len(content) < keyEnd {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name := r.URL.Query().Get("topic")
	if name == names["operators"] || name == names["servers"] {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mutex.Lock()
	end := len(s.topic(name).records)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		s.mutex.Unlock()
		reply(w, http.StatusPreconditionFailed, map[string]int{"end_offset": end})
		return
	}
	offset := s.append(name, string(content[1:keyEnd]), slices.Clone(content[keyEnd:]))
	s.mutex.Unlock()
	reply(w, http.StatusOK, map[string]int{"offset": offset, "end_offset": offset + 1})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		t, changed := s.topic(query.Get("topic")), s.changed
		if from > len(t.records) {
			s.mutex.Unlock()
			reply(w, http.StatusGone, map[string]int{"first_offset": 0})
			return
		}
		if from < len(t.records) || wait == 0 {
			page := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			page = binary.BigEndian.AppendUint64(page, 0)
			for _, record := range t.records[from:] {
				page = binary.BigEndian.AppendUint32(page, uint32(1+len(record.key)+len(record.value)))
				page = append(page, byte(len(record.key)))
				page = append(append(page, record.key...), record.value...)
			}
			s.mutex.Unlock()
			_, _ = w.Write(page)
			return
		}
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	end := len(t.records)
	entries := []storeEntry{}
	for key, e := range t.newest {
		if key > r.URL.Query().Get("after") {
			entries = append(entries, e)
		}
	}
	s.mutex.Unlock()
	slices.SortFunc(entries, func(a, b storeEntry) int { return strings.Compare(a.Key, b.Key) })
	more := len(entries) > storePageEntries
	if more {
		entries = entries[:storePageEntries]
	}
	reply(w, http.StatusOK, map[string]any{"entries": entries, "has_more": more, "end_offset": end})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
