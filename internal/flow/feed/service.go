package feed

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// Methods that daemons call on each other.
const (
	serviceName = "Catalog"

	methodPoll peer.Method = serviceName + ".Poll"
	methodRead peer.Method = serviceName + ".Read"
)

// partBytes is the size of a part of an encoded catalog. Other messages on the same connection wait for one part at most.
const partBytes = 32 << 10

type (
	// PollArgs asks for the state of a daemon's catalog as soon as it is newer than Version, and after Wait at the latest.
	PollArgs struct {
		Version specs.CatalogVersion
		Wait    time.Duration
	}

	// PollReply is the state of a daemon's catalog. Version is zero when it has none.
	PollReply struct {
		Version  specs.CatalogVersion
		Position Position
		// Age is how long ago the store is known to have had no newer catalog, and Waited how long the call waited.
		Age    time.Duration
		Waited time.Duration
		// Receiving means that a newer catalog is arriving, here or at the source.
		Receiving bool
		// Bytes and Digest describe the encoded catalog, if it is newer than the caller's.
		Bytes  int
		Digest uint64
		// Confirmed means that the source knows when the store had no newer catalog than Version, ConfirmedAge how long ago
		// that was by a clock that counts suspension. ConfirmedAge is read after Waited.
		Confirmed    bool
		ConfirmedAge time.Duration
		// KeepsOrganisations is set by all versions of the program whose catalogs hold organisations. A catalog of a former
		// version would lack the keys.
		KeepsOrganisations bool
	}

	// ReadArgs asks for a part of an encoded catalog.
	ReadArgs struct {
		Version specs.CatalogVersion
		Offset  int
	}

	// ReadReply is a part of an encoded catalog.
	ReadReply struct{ Data []byte }

	// Service is the RPC service through which daemons fetch the catalog from each other.
	Service struct{ feed *Feed }
)

// Register registers the RPC service.
func (f *Feed) Register(r peer.Registrar) error {
	return r.Register(serviceName, &Service{feed: f})
}

// Poll waits for a catalog that is newer than the caller's and returns the state of this daemon's. It does not wait when
// this daemon's knowledge of the store is too old, so that the caller looks for another source at once.
func (s *Service) Poll(args *PollArgs, reply *PollReply) error {
	f := s.feed
	began := f.config.Clock.Now()
	f.mu.Lock()
	changed := f.changed
	isNewer := f.document != nil && f.document.catalog.Version > args.Version
	isStale := f.ageLocked() > f.maxAge && !f.isReceiving()
	f.mu.Unlock()
	if !isNewer && !isStale {
		select {
		case <-changed:
		case <-f.config.Clock.After(min(args.Wait, f.wait)):
		}
	}
	// If the ages were read first, a pause before Waited is computed would count as time that the source has waited, and
	// make its knowledge seem younger.
	reply.Waited = f.config.Clock.Since(began)
	f.mu.Lock()
	d := f.document
	reply.Position, reply.Receiving, reply.Age = f.position, f.isReceiving(), f.ageLocked()
	confirmed := f.confirmationLocked()
	f.mu.Unlock()
	reply.Confirmed, reply.ConfirmedAge, reply.KeepsOrganisations = confirmed.Known, confirmed.Age, true
	return peer.Wire(reply.describe(d, args.Version))
}

// describe fills in what the reply says of the document.
func (r *PollReply) describe(d *document, known specs.CatalogVersion) error {
	if d == nil {
		return nil
	}
	r.Version = d.catalog.Version
	if r.Version <= known {
		return nil
	}
	encoded, sum, err := d.encoding()
	r.Bytes, r.Digest = len(encoded), uint64(sum)
	return err
}

// Read returns a part of the encoded catalog, at the rate that this daemon's link allows. The error is of kind NotFound
// when another version is in force.
func (s *Service) Read(args *ReadArgs, reply *ReadReply) error {
	f := s.feed
	f.mu.Lock()
	d := f.document
	f.mu.Unlock()
	if d == nil || d.catalog.Version != args.Version {
		return peer.Wire(errs.New(errs.NotFound, "catalog %d is not in force here", args.Version))
	}
	encoded, _, err := d.encoding()
	if err != nil {
		return peer.Wire(err)
	}
	if args.Offset < 0 || args.Offset >= len(encoded) {
		return peer.Wire(errs.New(errs.Invalid, "offset %d is outside of the %d bytes of catalog %d", args.Offset, len(encoded), args.Version))
	}
	reply.Data = encoded[args.Offset:min(args.Offset+partBytes, len(encoded))]
	<-f.config.Clock.After(f.pacer.reserve(len(reply.Data)))
	return nil
}
