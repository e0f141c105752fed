package standin

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Order is the JSON body of a POST to an engine's /v1/orders: a command that
// changes what the engine serves. Kind is the kind of change: to load a model, an
// adapter or a version, or to change the engine's role. Name is the name of the
// model, adapter, version or role. Fence is the fencing token of the order.
type Order struct {
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Fence int64  `json:"fence"`
}

// orderBook records the orders that an engine accepted. It rejects an order
// whose fencing token is lower than the token of an order accepted earlier.
type orderBook struct {
	mu sync.Mutex
	// ignoresTokens makes the engine accept any fencing token.
	ignoresTokens bool
	highestToken  int64
	done          []Order
}

func (b *orderBook) serve(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "order is not valid", http.StatusBadRequest)
		return
	}
	if !b.accept(o) {
		http.Error(w, "fencing number is old", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (b *orderBook) accept(o Order) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ignoresTokens && o.Fence < b.highestToken {
		return false
	}
	b.highestToken = max(b.highestToken, o.Fence)
	b.done = append(b.done, o)
	return true
}
