// Package caller is a small client for agent programs, which are chains of
// dependent model calls. It asks a host which hosts to use, keeps the program's
// token and message history, and repeats a failed request at the next host with
// the same idempotency key.
package caller
