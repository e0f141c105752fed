package watcher_test

import (
	"testing"
	"time"

	"github.com/citronpier/citronpier/standin"
)

// A revoked key is accepted on a host that has not reached the store for longer than the age that
// it believes its configuration has.
func TestAgeOfConfigurationWhileStoreIsSilent(t *testing.T) {
	runWatcher(t, direct, func(t *testing.T, f *fixture) {
		f.put(t, configurations, "config", `{"version":1}`)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			if age := f.watcher.ConfigurationAge(); age > 3*time.Second+100*time.Millisecond {
				t.Fatalf("age %s while the store answers", age)
			}
		}
		if age := f.watcher.ConfigurationAge(); age > 1600*time.Millisecond {
			t.Errorf("age %s after some reads", age)
		}
		// The read that is under way is still answered, once it has waited for a second.
		silent := time.Now().Add(time.Second)
		f.store.SetFault(func(standin.Call) standin.Effect { return standin.Refuse })
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if age, least := f.watcher.ConfigurationAge(), time.Since(silent); age < least {
				t.Fatalf("age %s, but the store has been silent for %s", age, least)
			}
		}
	})
}
