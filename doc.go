// Package citronpier schedules agent programs: chains of dependent model calls
// whose shape nobody knows in advance and of which only the total time
// matters.
//
// A Host is one entry host. It answers callers, is home of a share of the
// programs and upstreams, and keeps replicas of the log's streams.
package citronpier
