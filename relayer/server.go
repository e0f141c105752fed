package relayer

import (
	"context"
	"errors"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/messenger"
)

// Server calls the store on behalf of other hosts. It always calls the store
// directly, so a call is relayed at most once.
type Server struct {
	// Direct calls the store from this host.
	Direct connector.Store
	// Followed returns the newest records of a keyed partition that this host follows,
	// and true, if it has read them recently. Followed may be nil.
	Followed func(p connector.Partition) (connector.Newest, bool)
}

// Append appends records to the store for another host. An error of the store is
// returned in the fault field of the reply, not as an error of the call; Read and
// Newest do the same.
func (s Server) Append(ctx context.Context, r *messenger.AppendRequest) (*messenger.AppendReply, error) {
	p := connector.Partition{Topic: r.GetTopic(), Part: int(r.GetPart())}
	appended, err := s.Direct.Append(ctx, p, r.GetRecords(), r.GetAt())
	return &messenger.AppendReply{Fault: toFault(err), Offset: appended.Offset, End: appended.End}, nil
}

// Read reads records from the store for another host. It does not wait for new
// records.
func (s Server) Read(ctx context.Context, r *messenger.ReadRequest) (*messenger.ReadReply, error) {
	p := connector.Partition{Topic: r.GetTopic(), Part: int(r.GetPart())}
	records, err := s.Direct.Read(ctx, p, r.GetFrom(), 0)
	return &messenger.ReadReply{Fault: toFault(err), End: records.End, First: records.First, Records: records.Values}, nil
}

// Newest returns the newest record of each key to another host, from memory if this host
// follows the partition: many hosts that start together would otherwise read the same
// records from the store. The partition must be keyed, that is, a record replaces all
// earlier records with the same key.
func (s Server) Newest(ctx context.Context, r *messenger.NewestRequest) (*messenger.NewestReply, error) {
	p := connector.Partition{Topic: r.GetTopic(), Part: int(r.GetPart())}
	newest, err := s.newest(ctx, p)
	reply := &messenger.NewestReply{Fault: toFault(err), End: newest.End}
	for _, i := range newest.Items {
		reply.Items = append(reply.Items, &messenger.Item{Key: i.Key, Value: i.Value, Offset: i.Offset})
	}
	return reply, nil
}

// newest returns the newest record of each key from memory or from the store.
func (s Server) newest(ctx context.Context, p connector.Partition) (connector.Newest, error) {
	if s.Followed != nil {
		if newest, ok := s.Followed(p); ok {
			return newest, nil
		}
	}
	return s.Direct.Newest(ctx, p)
}

// toFault converts an error of the store to a message, or returns nil if err is
// nil.
func toFault(err error) *messenger.StoreFault {
	var mismatch *connector.EndMismatchError
	var trimmed *connector.TrimmedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &mismatch):
		return &messenger.StoreFault{Moved: true, Offset: mismatch.End}
	case errors.As(err, &trimmed):
		return &messenger.StoreFault{Trimmed: true, Offset: trimmed.First}
	default:
		return &messenger.StoreFault{Unreached: true, Detail: err.Error()}
	}
}

// UnreachedError reports that the relaying host could not reach the store, or that it
// lost the store's answer. A relayed append may nevertheless have taken effect.
// Detail is the relaying host's error.
type UnreachedError struct{ Detail string }

// Error implements the error interface.
func (e *UnreachedError) Error() string {
	return "relaying host got no answer of the store: " + e.Detail
}

// fromFault converts the fault in a relaying host's reply to an error for
// partition p, or returns nil if f is nil.
func fromFault(f *messenger.StoreFault, p connector.Partition) error {
	switch {
	case f == nil:
		return nil
	case f.GetMoved():
		return &connector.EndMismatchError{Partition: p, End: f.GetOffset()}
	case f.GetTrimmed():
		return &connector.TrimmedError{Partition: p, First: f.GetOffset()}
	default:
		return &UnreachedError{Detail: f.GetDetail()}
	}
}
