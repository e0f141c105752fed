package standin

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Order is an instruction to an engine: to load a model, an adapter or a
// version, or to change its role.
type Order struct {
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Fence int64  `json:"fence"`
}

// orderBook holds the orders that an engine carried out.
type orderBook struct {
	mu sync.Mutex
	// ignores says that the engine does not check fencing numbers.
	ignores bool
	highest int64
	done    []Order
}

func (b *orderBook) serve(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "order is not valid", http.StatusBadRequest)
		return
	}
	if !b.take(o) {
		http.Error(w, "fencing number is old", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (b *orderBook) take(o Order) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ignores && o.Fence < b.highest {
		return false
	}
	b.highest = max(b.highest, o.Fence)
	b.done = append(b.done, o)
	return true
}
