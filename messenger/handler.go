package messenger

import (
	"context"
	"crypto/subtle"
	"io"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/refuser"
)

// maxRequest is the maximum size in bytes of a request that opens a stream.
const maxRequest = 64 << 20

// Streams runs the requests with streamed responses that other hosts send. A method
// emits frames until it returns. If it returns an error, a fault frame for the error
// ends the stream.
type Streams interface {
	// Call runs a call of a program whose home is this host.
	Call(ctx context.Context, req *CallRequest, emit func(*Frame) error) error
	// Dispatch runs one attempt of a call at an upstream whose home is this host.
	Dispatch(ctx context.Context, req *DispatchRequest, emit func(*Frame) error) error
}

// NewHandler returns the HTTP handler for requests of other hosts. It rejects requests
// without the shared key.
func NewHandler(key string, commands Commands, queries Queries, streams Streams) http.Handler {
	mux := http.NewServeMux()
	commandServer := NewCommandsServer(commands)
	queryServer := NewQueriesServer(queries)
	mux.Handle(commandServer.PathPrefix(), commandServer)
	mux.Handle(queryServer.PathPrefix(), queryServer)
	mux.HandleFunc("POST "+callPath, func(w http.ResponseWriter, r *http.Request) {
		serveStream(w, r, &CallRequest{}, streams.Call)
	})
	mux.HandleFunc("POST "+dispatchPath, func(w http.ResponseWriter, r *http.Request) {
		serveStream(w, r, &DispatchRequest{}, streams.Dispatch)
	})
	return requireKey(key, mux)
}

// requireKey rejects requests without the key that all hosts share.
func requireKey(key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(keyHeader)), []byte(key)) != 1 {
			http.Error(w, "wrong peer key", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// serveStream decodes a request into message, calls run and writes the frames that run
// emits. While run is running, alive frames are also written at regular intervals.
func serveStream[M proto.Message](w http.ResponseWriter, r *http.Request, message M,
	run func(context.Context, M, func(*Frame) error) error,
) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
	if err != nil || proto.Unmarshal(raw, message) != nil {
		http.Error(w, "request is not valid", http.StatusBadRequest)
		return
	}
	s := frameWriter{writer: w, controller: http.NewResponseController(w)}
	stop := s.keepAlive(r.Context())
	defer stop()
	if err := run(r.Context(), message, s.emit); err != nil {
		_ = s.emit(FaultFrame(refuser.From(err)))
	}
}

// aliveInterval is the time between the alive frames of a stream. It must be well
// below streamTimeout, after which the reader treats the stream as interrupted.
const aliveInterval = 250 * time.Millisecond

// frameWriter writes the frames of one stream. It is safe for concurrent use.
type frameWriter struct {
	mu         sync.Mutex
	writer     io.Writer
	controller *http.ResponseController
}

// emit writes a frame and flushes it.
func (s *frameWriter) emit(f *Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := protodelim.MarshalTo(s.writer, f); err != nil {
		return &InterruptedError{Cause: err}
	}
	if err := s.controller.Flush(); err != nil {
		return &InterruptedError{Cause: err}
	}
	return nil
}

// keepAlive emits alive frames until stop is called or ctx ends. After stop has returned,
// no alive frame is written any more.
func (s *frameWriter) keepAlive(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		tick := time.NewTicker(aliveInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				if s.emit(AliveFrame(false)) != nil {
					return
				}
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// NewServer returns the HTTP server for requests of other hosts. It supports HTTP/2
// without TLS, so that all streams between two hosts share one connection.
func NewServer(handler http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:   handler,
		Protocols: &protocols,
		// When this host becomes unreachable, the client sends the attempt to another
		// host after streamTimeout. The pings detect the loss of the connection earlier,
		// so the attempt is cancelled here before it is sent elsewhere.
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, SendPingTimeout: pingInterval, PingTimeout: pingTimeout,
		},
	}
}

// maxStreams is the maximum number of concurrent streams on one connection.
const maxStreams = 1 << 16
