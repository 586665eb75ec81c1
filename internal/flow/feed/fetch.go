package feed

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

const (
	// pollMargin is how much longer than it waits the answer to a poll may take.
	pollMargin = 500 * time.Millisecond
	// partTries is how often the call for one part is made, and maxPartTimeout its longest limit; see partTimeout.
	partTries      = 2
	maxPartTimeout = 2 * time.Second
	// partTimeoutDivisor gives the limit of a call for a part on a free link, as a part of ApplyTimeout: after all tries, there must be
	// time left to fetch the catalog from another source.
	partTimeoutDivisor = 5
	// maxEncodedBytes is the largest encoded catalog that is fetched, in bytes.
	maxEncodedBytes = 16 << 20
)

// poll asks a source for the state of its catalog. It also returns when the call was sent. An error of kind Invalid means that
// the source runs a former version: its catalogs lack the organisations, and it knows no confirmations.
func (f *Feed) poll(ctx context.Context, target peer.Target, known specs.CatalogVersion) (*PollReply, time.Time, error) {
	wait := f.nextWait()
	limited, cancel := context.WithTimeout(ctx, wait+pollMargin)
	defer cancel()
	sentAt := f.config.Clock.Now()
	reply := &PollReply{}
	err := f.config.Peers.Call(limited, target, methodPoll, &PollArgs{Version: known, Wait: wait}, reply)
	if err == nil && !reply.KeepsOrganisations {
		err = errs.New(errs.Invalid, "%s runs a former version, whose catalogs lack the organisations", target.VM)
	}
	return reply, sentAt, err
}

// FetchNewer fetches the catalog of another daemon if it is newer than this daemon's, and adopts its confirmation.
func (f *Feed) FetchNewer(ctx context.Context, target peer.Target) error {
	sentAt := f.config.Uptime()
	reply, _, err := f.poll(ctx, target, f.Version())
	if err != nil {
		return err
	}
	if reply.Version > f.Version() {
		err = f.fetch(ctx, target, reply)
	}
	if err == nil {
		f.adoptPolled(reply, sentAt)
	}
	return err
}

// fetch fetches the catalog that a poll has described, and puts it in force. The error is of kind NotFound when the source
// has a newer one meanwhile.
func (f *Feed) fetch(ctx context.Context, target peer.Target, described *PollReply) error {
	f.fetching.Lock()
	defer f.fetching.Unlock()
	if described.Version <= f.Version() {
		return nil
	}
	if described.Bytes > maxEncodedBytes {
		return errs.New(errs.TooLarge, "catalog %d has %d bytes, more than %d", described.Version, described.Bytes, maxEncodedBytes)
	}
	began := f.config.Clock.Now()
	encoded, err := f.readParts(ctx, target, described)
	took := f.config.Clock.Since(began)
	if err != nil {
		f.counters.givenUp.Inc(1)
		f.config.Log.Warn().Err(err).Str("Source", string(target.VM)).Uint64("Version", uint64(described.Version)).
			Int("Bytes", len(encoded)).Int("Of", described.Bytes).Dur("After", took).Msg("fetch of a catalog was given up")
		return err
	}
	d, err := decodeDocument(encoded, digest(described.Digest))
	if err != nil {
		return err
	}
	f.counters.fetched.Update(int64(len(encoded)))
	f.counters.fetches.Update(took)
	f.config.Log.Info().Str("Source", string(target.VM)).Uint64("Version", uint64(described.Version)).
		Int("Bytes", len(encoded)).Dur("Took", took).Msg("catalog fetched from another daemon")
	f.install(d, described.Position)
	return nil
}

// readParts reads an encoded catalog part by part. On an error it returns the parts that have arrived.
func (f *Feed) readParts(ctx context.Context, target peer.Target, described *PollReply) ([]byte, error) {
	out := make([]byte, 0, described.Bytes)
	for len(out) < described.Bytes {
		part, err := f.readPart(ctx, target, &ReadArgs{Version: described.Version, Offset: len(out)}, f.partTimeout(described.Bytes))
		if err != nil {
			return out, err
		}
		out = append(out, part...)
		f.noteProgress()
	}
	return out, nil
}

// partTimeout returns how long a source that can be reached may take to send a part of a catalog with the given size in bytes, while all
// daemons may be fetching it from there over links like this daemon's.
func (f *Feed) partTimeout(bytes int) time.Duration {
	timeout := f.config.ApplyTimeout / partTimeoutDivisor
	if f.pacer.rate > 0 {
		queued := float64(min(bytes, partBytes) * len(f.config.Members()))
		timeout += time.Duration(queued / f.pacer.rate * float64(time.Second))
	}
	return min(timeout, maxPartTimeout)
}

// readPart reads one part, with retries while no answer arrives within the timeout.
func (f *Feed) readPart(ctx context.Context, target peer.Target, args *ReadArgs, timeout time.Duration) ([]byte, error) {
	var err error
	for range partTries {
		limited, cancel := context.WithTimeout(ctx, timeout)
		reply := &ReadReply{}
		err = f.config.Peers.Call(limited, target, methodRead, args, reply)
		cancel()
		if err == nil && len(reply.Data) == 0 {
			return nil, errs.New(errs.Invalid, "%s returned an empty part of catalog %d", target.VM, args.Version)
		}
		if err == nil {
			return reply.Data, nil
		}
		if !errs.Is(err, errs.Lost) {
			return nil, err
		}
	}
	return nil, err
}
