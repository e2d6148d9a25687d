package relayer_test

import (
	"net"
	"net/netip"
	"testing"
)

// TestReplicaJoinsAllSeedsAtOnce starts a replica whose three seeds accept connections and never answer, as VMs do that
// have just frozen. It must connect to all of them before it gives up on any: after a loss of power of the whole
// deployment one silent seed would otherwise keep the replicas from finding each other.
func TestReplicaJoinsAllSeedsAtOnce(t *testing.T) {
	const seedCount = 3
	c := &formingCluster{secrets: newFormingCluster(t, 0).secrets, t: t}
	node := c.addNode()
	connected := make(chan int, 100)
	for i := range seedCount {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = socket.Close() })
		node.settings.Seeds = append(node.settings.Seeds, netip.MustParseAddrPort(socket.Addr().String()))
		go acceptSilently(socket, func() { connected <- i })
	}
	c.start(node)
	t.Cleanup(node.Close)
	found := make(map[int]bool)
	for len(found) < seedCount {
		seed := <-connected
		if found[seed] {
			t.Fatalf("seed %d was connected to twice before all seeds were connected to once: %v", seed, found)
		}
		found[seed] = true
	}
}

// acceptSilently accepts connections and neither answers nor closes them.
func acceptSilently(socket net.Listener, accepted func()) {
	for {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		accepted()
	}
}
