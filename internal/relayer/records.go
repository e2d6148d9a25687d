package relayer

import (
	"bytes"
	"encoding/json"

	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

// minCompressedRecords is the number of records from which on they are compressed.
const minCompressedRecords = 20

// memberRecords are members in the form in which two nodes exchange them: a JSON array or, from minCompressedRecords
// on, a string with the compressed array. When a fleet starts, all nodes fetch the records from a few seeds.
type memberRecords []gossiper.Member

// MarshalJSON implements json.Marshaler.
func (r memberRecords) MarshalJSON() ([]byte, error) {
	plain, err := json.Marshal([]gossiper.Member(r))
	if err != nil || len(r) < minCompressedRecords {
		return plain, err
	}
	return json.Marshal(replicator.Pack(string(plain)))
}

// UnmarshalJSON implements json.Unmarshaler. For records that can't be decompressed, the error wraps
// replicator.ErrUnpack.
func (r *memberRecords) UnmarshalJSON(data []byte) error {
	if bytes.HasPrefix(data, []byte(`"`)) {
		var packed []byte
		if err := json.Unmarshal(data, &packed); err != nil {
			return err
		}
		plain, err := replicator.Unpack(packed)
		if err != nil {
			return err
		}
		data = []byte(plain)
	}
	return json.Unmarshal(data, (*[]gossiper.Member)(r))
}
