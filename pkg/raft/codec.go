package raft

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// ErrDecode is returned for bytes that are not what they should be.
var ErrDecode = errors.New("log data cannot be decoded")

func encodeMembership(m Membership) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return data, errors.Wrap(err, "encode membership")
	}
	return data, nil
}

// decodeMembership reads a membership that this package encoded. Entries
// reach it only behind a checksum and a leader's own encoding.
func decodeMembership(data []byte) Membership {
	var m Membership
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Membership{}
	}
	return m
}
