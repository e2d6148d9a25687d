package leavekeeper_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/leavekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// flakyStore is a Store and an Observer. It fails while failing is true, and counts the entries that it has stored.
type flakyStore struct {
	failing atomic.Bool
	stored  atomic.Int64
	failed  atomic.Int64
}

// StoreEntries implements leavekeeper.Store.
func (s *flakyStore) StoreEntries(_ context.Context, entries []leavekeeper.Entry) error {
	if s.failing.Load() {
		return errLostMessage
	}
	s.stored.Add(int64(len(entries)))
	return nil
}

// LeavesStored implements leavekeeper.Observer.
func (s *flakyStore) LeavesStored([]leavekeeper.Entry, time.Duration) {}

// LeavesNotStored implements leavekeeper.Observer.
func (s *flakyStore) LeavesNotStored([]leavekeeper.Entry, error) { s.failed.Add(1) }

// confirm waits for an entry as long as an upstream does.
func confirm(t *testing.T, w *leavekeeper.Writer, e leavekeeper.Entry) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
	defer cancel()
	return w.Confirm(ctx, e)
}

// TestLeaveIsStoredLater guards against a leave that is given up because it couldn't be stored at once, and one that counts as
// stored before it is.
func TestLeaveIsStoredLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &flakyStore{}
		w := leavekeeper.NewWriter(timekeeper.System{}, store, store)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go w.Run(ctx)
		store.failing.Store(true)
		if err := confirm(t, w, entry("vm", 1)); !errors.Is(err, leavekeeper.ErrNotStored) {
			t.Errorf("without replicas: %v", err)
		}
		store.failing.Store(false)
		time.Sleep(time.Second)
		if store.stored.Load() != 1 {
			t.Errorf("%d entries are stored after a second with replicas", store.stored.Load())
		}
		if err := confirm(t, w, entry("vm", 1)); err != nil || store.stored.Load() != 1 {
			t.Errorf("asked again: %v, stored %d times", err, store.stored.Load())
		}
	})
}

// TestPendingLeavesAreBounded guards against calls that pile up, and attempts that never end, while no leave can be stored.
func TestPendingLeavesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &flakyStore{}
		store.failing.Store(true)
		w := leavekeeper.NewWriter(timekeeper.System{}, store, store)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go w.Run(ctx)
		full := 0
		for i := range 100 {
			expired, cancel := context.WithCancel(t.Context())
			cancel()
			if errors.Is(w.Confirm(expired, entry(fmt.Sprint("vm-", i), 1)), leavekeeper.ErrFull) {
				full++
			}
		}
		if full < 80 {
			t.Errorf("%d of 100 leaves were refused", full)
		}
		time.Sleep(leavekeeper.Retention + time.Second)
		failed := store.failed.Load()
		time.Sleep(time.Minute)
		if store.failed.Load() != failed {
			t.Errorf("the writer still tries %s after the leaves", leavekeeper.Retention)
		}
	})
}
