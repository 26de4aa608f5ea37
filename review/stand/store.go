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
	// store is a stand-in for the platform's store: keyed topics with one partition each.
	store struct {
		mutex   sync.Mutex
		topics  map[string]*topic
		era     int64
		changed chan struct{}
	}

	topic struct {
		records []entry
		newest  map[string]entry
	}

	entry struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
)

// appendTime is the time that an append takes, pageEntries the length of a page of newest records.
const (
	appendTime  = time.Millisecond
	pageEntries = 500
)

func newStore() *store {
	return &store{topics: map[string]*topic{}, era: 1, changed: make(chan struct{})}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]entry{}}
		s.topics[name] = t
	}
	return t
}

// put appends a record as the operator or a replica does. A nil value deletes the key.
func (s *store) put(topicName, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.append(topicName, key, value)
}

func (s *store) append(topicName, key string, value []byte) int64 {
	t := s.topic(topicName)
	e := entry{Key: key, Value: value, Offset: int64(len(t.records))}
	t.records = append(t.records, e)
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = e
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return e.Offset
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.URL.Path {
	case name("append"):
		s.serveAppend(w, r, query.Get("topic"), query.Get("at"))
	case name("read"):
		from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.serveRead(w, r, query.Get("topic"), from, time.Duration(wait)*time.Millisecond)
	case name("newest"):
		s.serveNewest(w, query.Get("topic"), query.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, era int64, body any) {
	w.Header().Set(name("era"), strconv.FormatInt(era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topicName, at string) {
	body, err := io.ReadAll(r.Body)
	if topicName == name("operators") || topicName == name("servers") {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	if err != nil || len(body) < 5 || int(binary.BigEndian.Uint32(body)) != len(body)-4 || len(body) < 5+int(body[4]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(appendTime)
	key, value := string(body[5:5+int(body[4])]), slices.Clone(body[5+int(body[4]):])
	s.mutex.Lock()
	t, era := s.topic(topicName), s.era
	if end := int64(len(t.records)); at != "" && at != strconv.FormatInt(end, 10) {
		s.mutex.Unlock()
		s.answer(w, http.StatusPreconditionFailed, era, map[string]int64{"end_offset": end})
		return
	}
	offset := s.append(topicName, key, value)
	s.mutex.Unlock()
	s.answer(w, http.StatusOK, era, map[string]int64{"offset": offset, "end_offset": offset + 1})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topicName string, from int64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mutex.Lock()
		t, changed, era := s.topic(topicName), s.changed, s.era
		end := int64(len(t.records))
		if from > end {
			s.mutex.Unlock()
			s.answer(w, http.StatusGone, era, map[string]int64{"first_offset": 0})
			return
		}
		if from < end || wait <= 0 {
			page := binary.BigEndian.AppendUint64(nil, uint64(end))
			page = binary.BigEndian.AppendUint64(page, 0)
			for _, e := range t.records[from:] {
				page = binary.BigEndian.AppendUint32(page, uint32(1+len(e.Key)+len(e.Value)))
				page = append(append(append(page, byte(len(e.Key))), e.Key...), e.Value...)
			}
			s.mutex.Unlock()
			w.Header().Set(name("era"), strconv.FormatInt(era, 10))
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

func (s *store) serveNewest(w http.ResponseWriter, topicName, after string) {
	s.mutex.Lock()
	t, era := s.topic(topicName), s.era
	entries := []entry{}
	for key, e := range t.newest {
		if key > after {
			entries = append(entries, e)
		}
	}
	end := len(t.records)
	s.mutex.Unlock()
	slices.SortFunc(entries, func(a, b entry) int { return strings.Compare(a.Key, b.Key) })
	more := len(entries) > pageEntries
	if more {
		entries = entries[:pageEntries]
	}
	s.answer(w, http.StatusOK, era, map[string]any{"entries": entries, "has_more": more, "end_offset": end})
}
