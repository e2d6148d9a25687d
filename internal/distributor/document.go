package distributor

import "github.com/marigoldrelay/marigoldrelay/internal/replicator"

// Document is a value of the register as nodes exchange it: without its history and with the text compressed.
type Document struct {
	Deployment string               `json:"deployment"`
	Packed     []byte               `json:"packed"`
	Replicas   []replicator.Replica `json:"replicas"`
	Revision   uint64               `json:"revision"`
	Version    uint64               `json:"version"`
}

// NewDocument returns the document of a value.
func NewDocument(value *replicator.Value) Document {
	return Document{value.Deployment, replicator.Pack(value.Text), value.Replicas, value.Revision, value.Version}
}

// Value returns the value without its history. The error wraps replicator.ErrUnpack if the text can't be decompressed.
func (d *Document) Value() (*replicator.Value, error) {
	text, err := replicator.Unpack(d.Packed)
	if err != nil {
		return nil, err
	}
	return &replicator.Value{
		Deployment: d.Deployment, Replicas: d.Replicas, Revision: d.Revision, Text: text, Version: d.Version,
	}, nil
}
