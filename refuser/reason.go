package refuser

import "net/http"

// Reason is a stable code for why a call was refused or failed. Replies to callers,
// messages between hosts and metrics contain it.
type Reason string

// The reasons with which a reply can refuse a call.
const (
	Malformed  Reason = "malformed"   // the body is not valid JSON or lacks a field, or an id in the header is not text
	Oversize   Reason = "oversize"    // the body is larger than the limit
	Headers    Reason = "headers"     // the header is larger than the limit
	Slow       Reason = "slow"        // the body did not arrive within the time limit
	Model      Reason = "model"       // no upstream has the model loaded
	Key        Reason = "key"         // the organisation's key is missing or wrong
	Forged     Reason = "forged"      // the signature of a program's token is not valid
	Foreign    Reason = "foreign"     // the token belongs to another program or organisation
	Header     Reason = "header"      // a header has a value that is not valid
	Kind       Reason = "kind"        // no rule names the program kind, or a rule refuses it
	History    Reason = "history"     // the messages do not continue the program's earlier messages
	Order      Reason = "order"       // earlier calls of the program have not ended, or its token is missing
	Budget     Reason = "budget"      // the program's remaining token budget does not cover the call
	Calls      Reason = "calls"       // the program has made the maximum number of calls of its kind
	Wall       Reason = "wall"        // the program has reached the maximum duration of its kind
	Poison     Reason = "poison"      // earlier attempts of the request crashed upstreams
	Queue      Reason = "queue"       // the queue for an upstream is full
	Rate       Reason = "rate"        // the organisation has reached the limit of its rule
	Log        Reason = "log"         // the call needs the log, and the log does not reply
	Window     Reason = "window"      // the log has removed records that the call needs
	Rules      Reason = "rules"       // the host has no rule file in force
	Leaving    Reason = "leaving"     // the host is stopping and takes no new work
	Lost       Reason = "lost"        // the call may have run, and its response is lost
	Upstream   Reason = "upstream"    // no upstream could run the call
	Cancelled  Reason = "cancelled"   // the caller cancelled the call
	Deadline   Reason = "deadline"    // the call's deadline would pass in the queue for an upstream
	Service    Reason = "service"     // no rule or no upstream names the service
	Home       Reason = "home"        // the host that owns the program or upstream is not reachable
	Identity   Reason = "identity"    // the idempotency key was used for a different request
	Unfinished Reason = "unfinished"  // the upstream's stream ended before the answer was complete
	Route      Reason = "route"       // no route matches the path and method
	Superseded Reason = "superseded"  // another host has taken ownership of the program
	Internal   Reason = "internal"    // a defect of this system, or an error without a reason
	Unclaimed  Reason = "unclaimable" // the program has ended, or its records can't be used
	Turn       Reason = "turn"        // the turn that the request continues is not stored
	Capacity   Reason = "capacity"    // no upstream can take the request now
	Overload   Reason = "overload"    // the upstreams can't serve another program now
	Resume     Reason = "resume"      // the stream to resume was begun by an unknown version, or by one that no upstream runs
	Quarantine Reason = "quarantine"  // upstreams ended while they ran earlier attempts of the request; not run for a time
	Stale      Reason = "stale"       // the host can't show that its configuration is recent enough to accept a key
	Limited    Reason = "limited"     // the upstreams take no more requests now than the limits that they name
	Late       Reason = "late"        // the deadline passed before any upstream could have run the request
	Memory     Reason = "memory"      // the body gave way to others because the memory for bodies was used up
	Timeout    Reason = "timeout"     // the deadline passed after an upstream may have begun to run the request
)

// Reasons that no reply carries, because either the connection to the caller is
// closed, or the response has already begun.
const (
	Gone Reason = "gone" // the caller closed the connection
	Cut  Reason = "cut"  // the response had begun and could not be completed
)

// statuses maps each reason that a reply can carry to its HTTP status.
var statuses = map[Reason]int{
	Malformed:  http.StatusBadRequest,
	Oversize:   http.StatusRequestEntityTooLarge,
	Headers:    http.StatusRequestHeaderFieldsTooLarge,
	Slow:       http.StatusRequestTimeout,
	Model:      http.StatusNotFound,
	Key:        http.StatusUnauthorized,
	Forged:     http.StatusForbidden,
	Foreign:    http.StatusForbidden,
	Header:     http.StatusBadRequest,
	Kind:       http.StatusForbidden,
	History:    http.StatusConflict,
	Order:      http.StatusConflict,
	Budget:     http.StatusPaymentRequired,
	Calls:      http.StatusPaymentRequired,
	Wall:       http.StatusPaymentRequired,
	Poison:     http.StatusUnprocessableEntity,
	Queue:      http.StatusTooManyRequests,
	Rate:       http.StatusTooManyRequests,
	Log:        http.StatusServiceUnavailable,
	Window:     http.StatusGone,
	Rules:      http.StatusServiceUnavailable,
	Leaving:    http.StatusServiceUnavailable,
	Lost:       http.StatusBadGateway,
	Upstream:   http.StatusBadGateway,
	Cancelled:  http.StatusConflict,
	Deadline:   http.StatusGatewayTimeout,
	Service:    http.StatusNotFound,
	Home:       http.StatusServiceUnavailable,
	Identity:   http.StatusConflict,
	Unfinished: http.StatusBadGateway,
	Route:      http.StatusNotFound,
	Superseded: http.StatusServiceUnavailable,
	Internal:   http.StatusInternalServerError,
	Unclaimed:  http.StatusGone,
	Turn:       http.StatusNotFound,
	Capacity:   http.StatusServiceUnavailable,
	Overload:   http.StatusServiceUnavailable,
	Resume:     http.StatusServiceUnavailable,
	Quarantine: http.StatusServiceUnavailable,
	Limited:    http.StatusServiceUnavailable,
	Stale:      http.StatusServiceUnavailable,
	Memory:     http.StatusServiceUnavailable,
	Late:       http.StatusServiceUnavailable,
	Timeout:    http.StatusGatewayTimeout,
}

// Status returns the HTTP status of a reply with the reason. It is 500 for a reason
// without a status.
func (r Reason) Status() int {
	if s, ok := statuses[r]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Transient reports whether the same call may succeed at another host or later.
func (r Reason) Transient() bool {
	switch r {
	case Log, Rules, Leaving, Upstream, Home, Superseded, Unfinished, Queue, Rate, Memory:
		return true
	default:
		return false
	}
}
