package relayer

import (
	"context"
	"errors"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/messenger"
)

// Server calls the store for other hosts. It never relays further.
type Server struct {
	// Direct is the store itself.
	Direct connector.Store
}

// Append appends to the store for another host.
func (s Server) Append(ctx context.Context, r *messenger.AppendRequest) (*messenger.AppendReply, error) {
	p := connector.Partition{Topic: r.GetTopic(), Part: int(r.GetPart())}
	appended, err := s.Direct.Append(ctx, p, r.GetRecords(), r.GetAt())
	return &messenger.AppendReply{Fault: toFault(err), Offset: appended.Offset, End: appended.End}, nil
}

// Read reads from the store for another host.
func (s Server) Read(ctx context.Context, r *messenger.ReadRequest) (*messenger.ReadReply, error) {
	p := connector.Partition{Topic: r.GetTopic(), Part: int(r.GetPart())}
	records, err := s.Direct.Read(ctx, p, r.GetFrom(), 0)
	return &messenger.ReadReply{Fault: toFault(err), End: records.End, First: records.First, Records: records.Values}, nil
}

// Newest reads the newest record of each key for another host.
func (s Server) Newest(ctx context.Context, r *messenger.NewestRequest) (*messenger.NewestReply, error) {
	p := connector.Partition{Topic: r.GetTopic(), Part: int(r.GetPart())}
	newest, err := s.Direct.Newest(ctx, p)
	reply := &messenger.NewestReply{Fault: toFault(err), End: newest.End}
	for _, i := range newest.Items {
		reply.Items = append(reply.Items, &messenger.Item{Key: i.Key, Value: i.Value, Offset: i.Offset})
	}
	return reply, nil
}

// toFault returns an error of the store as a message; nil for none.
func toFault(err error) *messenger.StoreFault {
	var moved *connector.MovedError
	var trimmed *connector.TrimmedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &moved):
		return &messenger.StoreFault{Moved: true, Offset: moved.End}
	case errors.As(err, &trimmed):
		return &messenger.StoreFault{Trimmed: true, Offset: trimmed.First}
	default:
		return &messenger.StoreFault{Unreached: true, Detail: err.Error()}
	}
}

// UnreachedError says that the relaying host did not reach the store, or lost
// its answer.
type UnreachedError struct{ Detail string }

// Error describes the failure.
func (e *UnreachedError) Error() string { return "relay: " + e.Detail }

func fromFault(f *messenger.StoreFault, p connector.Partition) error {
	switch {
	case f == nil:
		return nil
	case f.GetMoved():
		return &connector.MovedError{Partition: p, End: f.GetOffset()}
	case f.GetTrimmed():
		return &connector.TrimmedError{Partition: p, First: f.GetOffset()}
	default:
		return &UnreachedError{Detail: f.GetDetail()}
	}
}
