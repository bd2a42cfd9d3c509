package raft

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// ErrDecode is returned for log data that is not validly encoded.
var ErrDecode = errors.New("log data cannot be decoded")

func encodeMembership(m Membership) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return data, errors.Wrap(err, "encode membership")
	}
	return data, nil
}

// decodeMembership decodes a membership encoded by encodeMembership. It returns
// an empty membership for invalid data, which does not occur in practice: leaders
// encode every membership entry themselves, and a checksum protects the entries.
func decodeMembership(data []byte) Membership {
	var m Membership
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Membership{}
	}
	return m
}
