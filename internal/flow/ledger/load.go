package ledger

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// contents is what the store holds, decoded.
type contents struct {
	jobs     []*specs.Job
	segments []segment
	parts    map[int][]part
	ends     map[store.Key][]tasks.JobResult
}

// Open reads everything that is durable into the table. The caller already holds the epoch, so no other writer
// can add to it.
func Open(ctx context.Context, c Config, into *tasks.Table) (*Ledger, error) {
	page, err := c.Store.List(ctx, dataPrefix)
	if err != nil {
		return nil, err
	}
	l := &Ledger{
		config: c, versions: make(map[store.Key]store.Version), parts: make(map[store.Key]store.Version),
		ends: make(map[store.Key]time.Time), next: 1, usual: usualAtFirst,
	}
	found, err := l.decode(page)
	if err != nil {
		return nil, err
	}
	for _, j := range found.jobs {
		into.AddJob(j)
	}
	for key, ends := range found.ends {
		l.ends[key] = lastEnd(ends)
		into.Restore(ends)
	}
	base := l.restore(found, into)
	l.replay(found, base, into)
	for _, j := range found.jobs {
		if _, ended := into.EndedJobs[j.ID]; ended {
			l.doomed = append(l.doomed, j.ID)
		}
	}
	return l, nil
}

func (l *Ledger) decode(page store.Page) (contents, error) {
	out := contents{parts: make(map[int][]part), ends: make(map[store.Key][]tasks.JobResult)}
	for _, e := range page.Entries {
		l.versions[e.Key], l.parts[e.Key] = e.Version, e.Version
		if err := out.add(e); err != nil {
			return contents{}, errs.New(errs.Internal, "%s in the store is malformed: %v", e.Key, err)
		}
	}
	slices.SortFunc(out.segments, func(a, b segment) int { return cmp.Compare(a.Number, b.Number) })
	return out, nil
}

func (c *contents) add(e store.Entry) error {
	key := string(e.Key)
	switch {
	case strings.HasPrefix(key, string(jobPrefix)):
		j := &specs.Job{}
		if err := json.Unmarshal(e.Value, j); err != nil {
			return err
		}
		c.jobs = append(c.jobs, j)
	case strings.HasPrefix(key, string(logPrefix)):
		var s segment
		if err := json.Unmarshal(e.Value, &s); err != nil {
			return err
		}
		c.segments = append(c.segments, s)
	case strings.HasPrefix(key, string(endsPrefix)):
		var ends []tasks.JobResult
		if err := json.Unmarshal(e.Value, &ends); err != nil {
			return err
		}
		c.ends[e.Key] = ends
	case strings.HasPrefix(key, string(imagePrefix)):
		var p part
		if err := json.Unmarshal(e.Value, &p); err != nil {
			return err
		}
		set := int(strings.TrimPrefix(key, string(imagePrefix))[0] - '0')
		c.parts[set] = append(c.parts[set], p)
	}
	return nil
}

// restore applies the newest whole image and returns the last segment that it covers.
func (l *Ledger) restore(c contents, into *tasks.Table) uint64 {
	var base uint64
	var newest []part
	for set, parts := range c.parts {
		if image := whole(parts); image != nil && image[0].Base >= base {
			base, newest = image[0].Base, image
			l.set = set
		}
	}
	for _, p := range newest {
		for _, r := range p.Records {
			into.Apply(r)
		}
	}
	return base
}

// whole returns the parts of the newest image among them, in order, or nil when a part is missing. Parts of an
// older, longer image may stand behind it.
func whole(parts []part) []part {
	if len(parts) == 0 {
		return nil
	}
	slices.SortFunc(parts, func(a, b part) int { return cmp.Compare(a.Index, b.Index) })
	first := parts[0]
	if first.Index != 0 || len(parts) < first.Total {
		return nil
	}
	for i, p := range parts[:first.Total] {
		if p.Index != i || p.Base != first.Base || p.Epoch != first.Epoch {
			return nil
		}
	}
	return parts[:first.Total]
}

// replay applies the segments after the image. One may be missing whose write was under way when its lead ended:
// nothing was done yet on the strength of it or of those behind it.
func (l *Ledger) replay(c contents, base uint64, into *tasks.Table) {
	l.next = base + 1
	for _, s := range c.segments {
		if s.Number <= base {
			continue
		}
		for _, r := range s.Records {
			into.Apply(r)
		}
		l.next = s.Number + 1
		l.since++
	}
}
