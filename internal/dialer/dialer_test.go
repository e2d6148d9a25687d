package dialer

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// TestDialToStartingVM dials a VM that begins to answer a while after the dial has begun. A first packet that it did
// not get must be sent again soon, not after the second that the kernel waits.
func TestDialToStartingVM(t *testing.T) {
	const roundTrip = 2 * time.Millisecond
	address := netip.MustParseAddrPort("127.0.0.1:1")
	for _, test := range []struct {
		startsAfter time.Duration
		timeout     time.Duration
		want        time.Duration
		wantErr     error
	}{
		{0, time.Second, roundTrip, nil},
		{50 * time.Millisecond, time.Second, 100*time.Millisecond + roundTrip, nil},
		{150 * time.Millisecond, time.Second, 300*time.Millisecond + roundTrip, nil},
		{400 * time.Millisecond, time.Second, 700*time.Millisecond + roundTrip, nil},
		{time.Hour, time.Second, time.Second, os.ErrDeadlineExceeded},
		{time.Hour, 40 * time.Millisecond, 40 * time.Millisecond, os.ErrDeadlineExceeded},
	} {
		t.Run(fmt.Sprintf("%s-of-%s", test.startsAfter, test.timeout), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				conn, err := DialWith(func(_ netip.AddrPort, timeout time.Duration) (net.Conn, error) {
					if time.Since(began) < test.startsAfter {
						time.Sleep(timeout)
						return nil, os.ErrDeadlineExceeded
					}
					time.Sleep(roundTrip)
					return &net.TCPConn{}, nil
				}, address, test.timeout)
				if taken := time.Since(began); taken != test.want || !errors.Is(err, test.wantErr) {
					t.Errorf("took %s with error %v, want %s and %v", taken, err, test.want, test.wantErr)
				}
				if (conn == nil) == (test.wantErr == nil) {
					t.Errorf("connection %v", conn)
				}
			})
		})
	}
}

// TestRefusedDialEndsAtOnce checks that a refused connection is not tried again.
func TestRefusedDialEndsAtOnce(t *testing.T) {
	attempts := 0
	_, err := DialWith(func(netip.AddrPort, time.Duration) (net.Conn, error) {
		attempts++
		return nil, syscall.ECONNREFUSED
	}, netip.MustParseAddrPort("127.0.0.1:1"), time.Second)
	if attempts != 1 || !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("%d attempts, error %v", attempts, err)
	}
}

// TestDialTimeoutIsRecognized guards against an error of the network package that Dial would not take for a timeout:

func TestDialTimeoutIsRecognized(t *testing.T) {
	_, err := dialOnce(netip.MustParseAddrPort("127.0.0.1:1"), time.Nanosecond)
	if !isTimeout(err) {
		t.Errorf("error %v", err)
	}
}
