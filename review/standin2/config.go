package main

// The routes of the configuration: their prefixes and services.
const (
	streamPrefix = "/turns/"
	chatPrefix   = "/chats/"
	safePrefix   = "/looks/"
	oncePrefix   = "/orders/"
	modelService = "models"
	appService   = "app"
)

// routeTimeout is the timeout of the routes, in milliseconds.
const routeTimeout = 4000

// configuration returns a configuration with a route of each kind. Turns are kept for a number of
// seconds.
func configuration(retention float64) map[string]any {
	route := func(name, prefix, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": callerHost, "path_prefix": prefix, "route_type": kind, "timeout_ms": routeTimeout, "slo_ms": 400,
			"priority": 0, "service": service, "attempts": 2,
		}
		for key, value := range more {
			r[key] = value
		}
		return r
	}
	return map[string]any{
		"version": 7,
		"routes": []any{
			route("turns", streamPrefix, "stream", modelService, map[string]any{"retain": true, "retention_s": retention, "session_affinity": true, "gap_target_ms": 300}),
			route("chats", chatPrefix, "stream", modelService, map[string]any{"retain": false, "retention_s": retention, "session_affinity": true, "gap_target_ms": 300}),
			route("looks", safePrefix, "safe", appService, nil),
			route("orders", oncePrefix, "unsafe", appService, nil),
		},
		"services": []any{
			map[string]any{"name": modelService, "health_check": "/health", "max_conns": 210, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 24, "tokens_per_event": 18}},
			map[string]any{"name": appService, "health_check": "/health", "max_conns": 210, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
