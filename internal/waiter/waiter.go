// Package waiter waits for a time or the end of a context.
package waiter

import (
	"context"
	"time"
)

// Sleep returns after a time, or as soon as ctx ends. A time of 0 or less
// returns at once.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
