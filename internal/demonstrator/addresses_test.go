package demonstrator_test

import (
	"net/netip"
	"sync"
	"testing"

	"github.com/marigoldrelay/marigoldrelay/internal/demonstrator"
)

// TestFreeAddressesAreDistinct guards against a port that is given to two concurrent callers.
func TestFreeAddressesAreDistinct(t *testing.T) {
	const (
		callers = 300
		each    = 20
	)
	var mu sync.Mutex
	seen := make(map[netip.AddrPort]bool)
	var calls sync.WaitGroup
	for range callers {
		calls.Go(func() {
			addresses, err := demonstrator.FreeAddresses(each)
			if err != nil {
				t.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			for _, address := range addresses {
				if seen[address] {
					t.Errorf("%s was returned twice", address)
				}
				seen[address] = true
			}
		})
	}
	calls.Wait()
}
