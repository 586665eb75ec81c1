package audit

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

const (
	serviceName = "Audit"
	methodQuery = peer.Method("Audit.Query")
)

type (
	// QueryArgs are the arguments of the RPC method Query, which returns the records that concern a subject.
	QueryArgs struct {
		Subject string
	}

	// QueryReply is the reply of the RPC method Query.
	QueryReply struct {
		Records []Record
	}

	// Answer is the result of a query. Missing lists the VMs that did not answer, and "store" if the store could not
	// be read to the end; their records may be missing.
	Answer struct {
		Subject string   `json:"Subject"`
		Records []Record `json:"Records"`
		Missing []string `json:"Missing,omitempty"`
	}

	// collector merges the records of several sources. It is safe for concurrent use.
	collector struct {
		mu      sync.Mutex
		seen    map[recordKey]bool
		answer  Answer
		subject string
	}

	// recordKey identifies a record, which several sources may return. The time tells the runs of a process apart, each
	// of which numbers its records from 1.
	recordKey struct {
		vm  types.VMID
		at  time.Time
		seq uint64
	}

	service struct {
		log *Log
	}
)

// Query returns the records in this VM's memory that concern the subject.
func (v *service) Query(args *QueryArgs, reply *QueryReply) error {
	if args.Subject == "" {
		return peer.Wire(errs.New(errs.Invalid, "Subject must be set"))
	}
	reply.Records = v.log.localRecords(args.Subject)
	return nil
}

// Query returns the records that concern the subject from this VM, its peers and the store, oldest first. It lists the
// store once for each hour and data centre, so it is meant for operators and not for the path of requests. Sources that
// do not answer are listed in Answer.Missing; the only error is an empty subject.
func (l *Log) Query(ctx context.Context, subject string) (Answer, error) {
	if subject == "" {
		return Answer{}, errs.New(errs.Invalid, "Subject must name a job, task, request, worker or environment")
	}
	c := &collector{seen: make(map[recordKey]bool), subject: subject, answer: Answer{Subject: subject}}
	c.addRecords(l.localRecords(subject))
	l.queryPeers(ctx, c)
	l.queryStore(ctx, c)
	return c.result(), nil
}

// queryPeers asks all other VMs in parallel.
func (l *Log) queryPeers(ctx context.Context, c *collector) {
	var wg sync.WaitGroup
	for _, to := range l.otherEntries() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			callCtx, cancel := clockwork.WithTimeout(ctx, l.config.Clock, peerTimeout)
			defer cancel()
			var reply QueryReply
			if err := l.config.Peers.Call(callCtx, to, methodQuery, &QueryArgs{Subject: c.subject}, &reply); err != nil {
				c.addMissing(string(to.VM))
				return
			}
			c.addRecords(reply.Records)
		}()
	}
	wg.Wait()
}

func (l *Log) otherEntries() []peer.Target {
	if l.config.Entries == nil || l.config.Peers == nil {
		return nil
	}
	var out []peer.Target
	for _, t := range l.config.Entries() {
		if t.VM != l.config.Self.VM {
			out = append(out, t)
		}
	}
	return out
}

// queryStore reads the records of each known data centre hour by hour within the retention, newest hour first. It stops
// at the first error.
func (l *Log) queryStore(ctx context.Context, c *collector) {
	if l.config.Store == nil {
		return
	}
	now := l.config.Clock.Now()
	for at := now; now.Sub(at) <= l.config.Retention; at = at.Add(-time.Hour) {
		for _, dc := range l.dataCentres() {
			if err := l.queryHour(ctx, c, hourKey(at, dc)); err != nil {
				c.addMissing("store")
				return
			}
		}
	}
}

func (l *Log) queryHour(ctx context.Context, c *collector, hour store.Key) error {
	callCtx, cancel := clockwork.WithTimeout(ctx, l.config.Clock, storeTimeout)
	defer cancel()
	page, err := l.config.Store.List(callCtx, hour)
	if err != nil {
		return err
	}
	for _, entry := range page.Entries {
		var s segment
		if err := store.DecodeRecord(entry.Value, &s); err != nil {
			return err
		}
		records, err := unpack(s.Records)
		if err != nil {
			return err
		}
		c.addRecords(records)
	}
	return nil
}

// dataCentres returns the own data centre and those of all known entries.
func (l *Log) dataCentres() []types.DataCentre {
	seen := map[types.DataCentre]bool{l.config.Self.Site.DataCentre: true}
	out := []types.DataCentre{l.config.Self.Site.DataCentre}
	for _, t := range l.otherEntries() {
		if !seen[t.Site.DataCentre] {
			seen[t.Site.DataCentre] = true
			out = append(out, t.Site.DataCentre)
		}
	}
	return out
}

// addRecords adds the records that concern the subject and are not yet there.
func (c *collector) addRecords(records []Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range records {
		key := recordKey{vm: r.VM, at: r.At, seq: r.Seq}
		if c.seen[key] || !r.Concerns(c.subject) {
			continue
		}
		c.seen[key] = true
		c.answer.Records = append(c.answer.Records, r)
	}
}

// addMissing adds a source that did not answer.
func (c *collector) addMissing(source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer.Missing = append(c.answer.Missing, source)
}

// result returns the answer with its records in order of time.
func (c *collector) result() Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	sort.SliceStable(c.answer.Records, func(i, j int) bool {
		a, b := c.answer.Records[i], c.answer.Records[j]
		if !a.At.Equal(b.At) {
			return a.At.Before(b.At)
		}
		return a.Seq < b.Seq
	})
	sort.Strings(c.answer.Missing)
	return c.answer
}
