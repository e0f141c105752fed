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

// maxRequest bounds a request between hosts, in bytes.
const maxRequest = 64 << 20

// Streams runs the streamed requests of other hosts.
type Streams interface {
	Call(ctx context.Context, req *CallRequest, emit func(*Frame) error) error
	Dispatch(ctx context.Context, req *DispatchRequest, emit func(*Frame) error) error
}

// NewHandler returns the handler of a host's peer address. It answers only
// requests that show the shared key.
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

func requireKey(key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(keyHeader)), []byte(key)) != 1 {
			http.Error(w, "wrong peer key", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

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

// aliveEvery is the time between the frames that show that a stream is alive.
const aliveEvery = 250 * time.Millisecond

// frameWriter writes the frames of one stream.
type frameWriter struct {
	mu         sync.Mutex
	writer     io.Writer
	controller *http.ResponseController
}

func (s *frameWriter) emit(f *Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := protodelim.MarshalTo(s.writer, f); err != nil {
		return &BrokenError{Cause: err}
	}
	if err := s.controller.Flush(); err != nil {
		return &BrokenError{Cause: err}
	}
	return nil
}

// keepAlive emits alive frames until stop is called. Stop returns once the
// last one is written.
func (s *frameWriter) keepAlive(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(aliveEvery)
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
		<-ended
	}
}

// NewServer returns the HTTP server of a peer address. It speaks HTTP/2
// without TLS, so that the calls between two hosts share one connection.
func NewServer(handler http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:   handler,
		Protocols: &protocols,
		// A host that can't be reached any more gives an attempt up before it is
		// sent elsewhere: pings find that sooner than the client's silence does.
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, SendPingTimeout: pingAfter, PingTimeout: pingBudget,
		},
	}
}

// maxStreams is the most streams that one connection carries.
const maxStreams = 1 << 16
