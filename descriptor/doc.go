// Package descriptor describes the things that citronpier schedules: hosts,
// upstreams, ranks and the outcome of a call. Its types know nothing of the
// stages that work on them.
package descriptor
