// Package waiter provides a sleep that the end of a context interrupts.
package waiter

import (
	"context"
	"time"
)

// Sleep returns after d has passed or ctx has ended, whichever comes first. If d
// is 0 or negative, Sleep returns at once. A caller that needs to know the cause
// checks ctx.Err.
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
