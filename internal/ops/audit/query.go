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
	// QueryArgs asks for the records that concern a subject.
	QueryArgs struct {
		Subject string
	}

	// QueryReply is the answer to QueryArgs.
	QueryReply struct {
		Records []Record
	}

	// Answer is what a query found. Missing lists the sources that did not answer, so the story may lack
	// their part.
	Answer struct {
		Subject string   `json:"Subject"`
		Records []Record `json:"Records"`
		Missing []string `json:"Missing,omitempty"`
	}

	// collector gathers the records of several sources.
	collector struct {
		mu      sync.Mutex
		seen    map[recordKey]bool
		answer  Answer
		subject string
	}

	recordKey struct {
		vm  types.VMID
		at  time.Time
		seq uint64
	}

	service struct {
		log *Log
	}
)

// Query returns the records in memory that concern the subject.
func (v *service) Query(args *QueryArgs, reply *QueryReply) error {
	if args.Subject == "" {
		return peer.Wire(errs.New(errs.Invalid, "Subject must be set"))
	}
	reply.Records = v.log.localRecords(args.Subject)
	return nil
}

// Query returns the records that concern the subject from this VM, its peers and the store, the oldest first.
// It reads the store by hour and data centre, so it is meant for operators, not for the path of requests.
func (l *Log) Query(ctx context.Context, subject string) (Answer, error) {
	if subject == "" {
		return Answer{}, errs.New(errs.Invalid, "name a job, task, request, worker or environment")
	}
	c := &collector{seen: make(map[recordKey]bool), subject: subject, answer: Answer{Subject: subject}}
	c.addRecords(l.localRecords(subject))
	l.queryPeers(ctx, c)
	l.queryStore(ctx, c)
	return c.result(), nil
}

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

// queryStore reads the kept hours of each known data centre, the newest first.
func (l *Log) queryStore(ctx context.Context, c *collector) {
	if l.config.Store == nil {
		return
	}
	now := l.config.Clock.Now()
	for at := now; now.Sub(at) <= l.config.Keep; at = at.Add(-time.Hour) {
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
		if err := store.Open(entry.Value, &s); err != nil {
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

func (c *collector) addMissing(source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer.Missing = append(c.answer.Missing, source)
}

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
