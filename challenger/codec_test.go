package challenger_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/exchanger"
)

// codec implements citronpier.Codec, the encoding of a platform's records and
// headers, with JSON records and minimal headers.
type codec struct{}

// keyedRecord is the encoding of a record in a keyed partition, in which a record
// replaces all earlier records with the same key.
type keyedRecord struct {
	Key   string
	Value []byte
}

func (codec) DecodeKeyed(record []byte) (string, []byte, error) {
	var k keyedRecord
	err := json.Unmarshal(record, &k)
	return k.Key, k.Value, err
}

func (codec) EncodeKeyed(key string, value []byte) []byte {
	raw, err := json.Marshal(keyedRecord{key, value})
	if err != nil {
		panic(err) // encoding a string and bytes can't fail
	}
	return raw
}

// Configuration decodes a version number and returns a configuration with three
// routes: a streaming route, a route whose requests run at most once, and an
// idempotent route whose path prefix contains the version. The tests send
// requests to the idempotent route to find out which version a host uses.
func (codec) Configuration(_ string, value []byte) (descriptor.Configuration, bool, error) {
	var version int64
	if err := json.Unmarshal(value, &version); err != nil {
		return descriptor.Configuration{}, false, err
	}
	route := func(prefix, service string, kind descriptor.Kind) descriptor.Route {
		return descriptor.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Timeout: attemptTimeout, Attempts: 2,
			Split: []descriptor.Share{{Service: service, Weight: 1}},
		}
	}
	return descriptor.Configuration{
		Version: version,
		Routes: []descriptor.Route{
			route("/chat/", "chat", descriptor.Stream{Retain: true, Retention: 10 * time.Minute}),
			route("/once/", "tool", descriptor.Once{}),
			route(fmt.Sprintf("/v%d/", version), "tool", descriptor.Idempotent{}),
		},
		Services: map[string]descriptor.Service{
			"chat": {Name: "chat", TokensPerEvent: tokensPerEvent}, "tool": {Name: "tool"},
		},
	}, true, nil
}

func (codec) Upstream(_ string, value []byte) (descriptor.Upstream, error) {
	var u descriptor.Upstream
	err := json.Unmarshal(value, &u)
	return u, err
}

func (codec) Header(a exchanger.Attempt, u descriptor.Upstream) http.Header {
	return http.Header{"Id": {a.Request.ID}, "Instance": {u.ID}}
}
func (codec) RequestID(h http.Header) string        { return h.Get("Id") }
func (codec) NotRun(status int, h http.Header) bool { return h.Get("Not-Run") != "" || status == 421 }
func (codec) HasStamp(http.Header) bool             { return true }
func (codec) Notice(h http.Header) exchanger.Notice {
	limit, err := strconv.ParseFloat(h.Get("Limit"), 64)
	if err != nil {
		limit = 0
	}
	return exchanger.Notice{Limit: limit}
}
