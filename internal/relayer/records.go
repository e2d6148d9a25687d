package relayer

import (
	"bytes"
	"encoding/json"

	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

// packedRecords is the number of records from which they are compressed.
const packedRecords = 20

// records are members as two nodes exchange them: an array, or a string of the compressed array where
// they are many, since all nodes of a fleet fetch them from few seeds when it starts.
type records []gossiper.Member

// MarshalJSON implements json.Marshaler.
func (r records) MarshalJSON() ([]byte, error) {
	plain, err := json.Marshal([]gossiper.Member(r))
	if err != nil || len(r) < packedRecords {
		return plain, err
	}
	return json.Marshal(replicator.Pack(string(plain)))
}

// UnmarshalJSON implements json.Unmarshaler. The error of compressed records wraps replicator.ErrPacked.
func (r *records) UnmarshalJSON(data []byte) error {
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
