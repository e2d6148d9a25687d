package gossiper

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// DigestBuckets is the number of hash buckets in which two views are compared.
const DigestBuckets = 32

// Digest summarises a view: one hash for each bucket of members. Equal views have equal digests.
type Digest [DigestBuckets]uint64

// MarshalText implements encoding.TextMarshaler: the hashes in base 64, 8 bytes each.
func (d Digest) MarshalText() ([]byte, error) {
	var data []byte
	for _, hash := range d {
		data = binary.LittleEndian.AppendUint64(data, hash)
	}
	return base64.StdEncoding.AppendEncode(nil, data), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. The error wraps ErrMalformed.
func (d *Digest) UnmarshalText(text []byte) error {
	data, err := base64.StdEncoding.AppendDecode(nil, text)
	if err != nil || len(data) != 8*DigestBuckets {
		return fmt.Errorf("%w: invalid digest of %d characters", ErrMalformed, len(text))
	}
	for i := range d {
		d[i] = binary.LittleEndian.Uint64(data[8*i:])
	}
	return nil
}

// bucketIndex returns the bucket of the named member.
func bucketIndex(name string) int {
	return int(xxhash.Sum64String(name) % DigestBuckets)
}

// hash returns the hash of the name and of all that isNewer compares.
func (m *Member) hash() uint64 {
	data := []byte(m.Name)
	data = binary.LittleEndian.AppendUint64(data, m.Incarnation)
	data = binary.LittleEndian.AppendUint64(data, m.Sequence)
	data = append(data, byte(m.Status))
	return xxhash.Sum64(data)
}

// Digest returns the digest of the current view.
func (g *Gossiper) Digest() Digest {
	g.mu.Lock()
	defer g.mu.Unlock()
	var digest Digest
	for name, m := range g.members {
		digest[bucketIndex(name)] ^= m.hash()
	}
	return digest
}

// DifferingMembers returns the records in the buckets in which the view differs from that of the remote digest.
func (g *Gossiper) DifferingMembers(remote Digest) []Member {
	own := g.Digest()
	var members []Member
	for _, m := range g.Members() {
		bucket := bucketIndex(m.Name)
		if own[bucket] != remote[bucket] {
			members = append(members, m)
		}
	}
	return members
}

// maxSpreadRecords is the number of records above which Merge does not spread the records any further,
// because the other members compare their own views.
const maxSpreadRecords = 20

// Merge stores those of the records from another member's view that are newer than the local ones. Invalid
// records are ignored. The stored records are spread to other members unless more than maxSpreadRecords were
// given.
func (g *Gossiper) Merge(members []Member) {
	g.mu.Lock()
	pending := maps.Clone(g.updates)
	for i := range members {
		if isValidRecord(&members[i]) {
			g.merge(members[i])
		}
	}
	if len(members) > maxSpreadRecords {
		g.updates = pending
	}
	g.unlockAndFlush()
}
