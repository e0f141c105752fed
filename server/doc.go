// Package server answers callers: the OpenAI-style calls, programs, plain
// services, and the pages of a host.
package server
