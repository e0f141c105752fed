package main

import "fmt"

// configuration has a route for kept turns and one for streams that may be resumed, with the
// figures of a small deployment: one attempt, 4 s, objectives of 200 and 400 ms.
var configuration = fmt.Sprintf(`{"version":3,"routes":[
{"name":"kept","host":"pier.example","path_prefix":"/kept/","route_type":"stream","timeout_ms":4000,"slo_ms":200,"priority":0,"service":"models","attempts":1,"retain":true,"retention_s":%d,"session_affinity":true,"resumable":false,"gap_target_ms":300},
{"name":"free","host":"pier.example","path_prefix":"/free/","route_type":"stream","timeout_ms":4000,"slo_ms":400,"priority":2,"service":"models","attempts":1,"retain":false,"session_affinity":true,"resumable":true,"gap_target_ms":300}],
"services":[{"name":"models","health_check":"/health","max_conns":210,"engine":{"slots":24,"tokens_per_event":%d}}],
"limits":{"header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
	int(retention.Seconds()), tokensPerEvent)
