// Command stand-2 plays the scripted cases of the second review against the project's daemons, on loopback addresses and
// the real clock.
//
//	stand-2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves out the disruption.
package main

import (
	"os"
)

func main() {
	if len(os.Args) != 3 {
		cannotRun("usage: stand-2 CASE RECORD")
	}
	cases := map[string]func(s *site, trouble bool){"rollout": rolloutCase, "part": partCase, "page": pageCase, "query": queryCase}
	run, ok := cases[os.Args[1]]
	if !ok {
		cannotRun("no such case")
	}
	run(newSite(os.Args[2]), os.Getenv("TROUBLE") != "0")
}

// route returns a route of the config.
func route(name, kind, service string, attempts, timeout, target, priority int, resumes bool) map[string]any {
	r := map[string]any{
		"name": "r-" + name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout,
		"target_latency_ms": target, "priority": priority, "service": service, "max_attempts": attempts, "anonymous": false,
	}
	if kind == "streaming" {
		r["session_affinity"], r[names["resumes"]], r["gap_target_ms"] = true, resumes, 500
	}
	return r
}

// config returns the first config of the deployment.
func config(routes ...any) map[string]any {
	tenant := func(name string) map[string]any {
		return map[string]any{"name": name, names["keys"]: []string{"key-of-" + name}, "priority": 1, "unit": "tokens", "uncached_tokens": 200, "rate_per_s": 253975, "burst": 253975}
	}
	return map[string]any{
		"version": 7, "routes": routes,
		"services": []any{
			map[string]any{"name": "lentil-pool", "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity": 370000, "kv_bytes": 163840, "link_mbps": 530000.0, "moves": true, "backups": true, "stride": 5,
				"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "order-desk", "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{tenant("hule930"), tenant("fida11")},
	}
}
