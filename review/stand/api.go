package main

import (
	"io"
	"net/http"
	"strings"
)

// serveAPI is a stand-in for the platform's API. It accepts and records each call.
func serveAPI(rec *record) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		rec.add("api %s holder=%s fence=%s %s", r.URL.Path, r.Header.Get(name("holder")), r.Header.Get(name("fence")), strings.TrimSpace(string(body)))
		w.WriteHeader(http.StatusOK)
	})
}
