package specs

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

type (
	// OrganisationName names an organisation; empty means none.
	OrganisationName string

	// KeyDigest is the SHA-256 digest of a caller's key. Keys themselves are neither kept nor handed on.
	KeyDigest [sha256.Size]byte

	// Organisation is a customer whose callers share its keys, its quota and its weight.
	Organisation struct {
		Name OrganisationName `json:"Name"`
		Keys []KeyDigest      `json:"Keys,omitempty"`
		// Weight is the number of jobs per second that the organisation may submit before further ones are surplus.
		Weight float64 `json:"Weight"`
		// Quota limits what its runs occupy on all runners together; a resource that is 0 has no limit.
		Quota types.Resources `json:"Quota"`
	}

	// Caller is who makes a call, as the daemon that received it has found out. The zero value is a caller without an
	// organisation: one of a public route, or of a catalog that requires no keys.
	Caller struct {
		Organisation OrganisationName
		// Key is the digest of the key that the call carried.
		Key KeyDigest
		// Catalog is the version of the catalog that held the key.
		Catalog CatalogVersion
		// Public means that the route of the call is public, so that the call needs no key.
		Public bool
		// Queue is the queue of the route. It is empty if only some of the routes to the queue are public, and for the zero Caller.
		// Otherwise a job of the queue for which another rule held was submitted under a former catalog.
		Queue QueueName
	}
)

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// MarshalText returns the digest in hexadecimal digits. The error is always nil.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(d[:])), nil
}

// UnmarshalText parses hexadecimal digits. It returns an error of kind Invalid if they are not a digest.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(d) {
		return errs.New(errs.Invalid, "a digest of a key must have %d hexadecimal digits", hex.EncodedLen(len(d)))
	}
	copy(d[:], decoded)
	return nil
}

// LargestTask returns the most of each resource that one task of the job takes.
func (j *Job) LargestTask() types.Resources {
	var out types.Resources
	for i := range j.Steps {
		n := j.Steps[i].Resources
		out.Cores, out.Memory = max(out.Cores, n.Cores), max(out.Memory, n.Memory)
		out.Accelerators = max(out.Accelerators, n.Accelerators)
	}
	return out
}
