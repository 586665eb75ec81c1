package relay

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/rescue"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// collectDelay lets answers accumulate, so that one reply carries many.
	collectDelay = 5 * time.Millisecond
	// sessionTimeout is how long a session is kept that its leader does not use.
	sessionTimeout = 10 * time.Second
	// maxAnswers limits the answers of a session that wait to be collected; the oldest are dropped. A leader treats an
	// order without an answer as in doubt.
	maxAnswers = 10_000
)

type (
	// ServerConfig holds the dependencies of a Server.
	ServerConfig struct {
		Agents  agent.Agent
		Clock   clockwork.Clock
		Log     zerolog.Logger
		Metrics metrics.Registry
	}

	// Server is the relay's side: it carries out the orders of leaders. It is safe for concurrent use.
	Server struct {
		config  ServerConfig
		rescuer *rescue.Rescuer
		process Process
		beganAt time.Time

		mu       sync.Mutex
		sessions map[SessionID]*session
	}

	// session holds the answers that a leader has not collected yet.
	session struct {
		answers []Answer
		// ready is closed once there is an answer, and then replaced.
		ready  chan struct{}
		usedAt time.Time
		// leaderClock is the earliest time, on the relay's clock, at which the session can have begun: the least
		// difference between the arrival of a batch and its SentAt. Zero before the first batch. It serves leaders of former
		// builds, which send no readings.
		leaderClock time.Time
	}

	// Service is the RPC service of a relay.
	Service struct{ server *Server }
)

// NewServer returns a server without sessions.
func NewServer(c ServerConfig) *Server {
	now := c.Clock.Now()
	return &Server{
		config: c, rescuer: rescue.New(c.Log, c.Metrics), process: Process(now.UnixNano()), beganAt: now, sessions: make(map[SessionID]*session),
	}
}

// Register registers the RPC service.
func (s *Server) Register(r peer.Registrar) error {
	return r.Register(ServiceName, &Service{server: s})
}

// Dispatch begins to carry out the orders and returns without waiting for their answers. Starts and renewals that
// were so long on their way that the leader may have given them up, or for which that is not known, are not carried out: the
// next boot of a runner would forget results that a late renewal acknowledges to the former one. Late stops do no harm.
// Dispatch refuses the whole batch when one of its orders is malformed.
func (s *Service) Dispatch(args *DispatchArgs, reply *DispatchReply) error {
	for i := range args.Orders {
		if err := args.Orders[i].Check(len(args.Payloads)); err != nil {
			return peer.Wire(err)
		}
	}
	to := s.server.use(args.Session)
	outdated := s.server.checkTransit(to, args)
	for i := range args.Orders {
		o := &args.Orders[i]
		if o.Stop == nil && outdated != nil {
			s.server.addAnswer(to, Answer{ID: o.ID, Error: errs.Encode(outdated)})
			continue
		}
		if o.Start != nil {
			o.Start.Payload = args.Payloads[o.Payload]
		}
		go func() { s.server.addAnswer(to, s.server.carryOut(o)) }()
	}
	reply.Reading = s.server.reading()
	return nil
}

// carryOut carries out an order. One that panics has an answer of kind Lost: its effect is in doubt.
func (s *Server) carryOut(o *Order) Answer {
	out := Answer{ID: o.ID}
	err := s.rescuer.Call("order of a leader", func() error {
		out = o.carryOut(context.Background(), s.config.Agents)
		return nil
	})
	if err != nil {
		out.Error = errs.Encode(errs.New(errs.Lost, "%v", err))
	}
	return out
}

// Collect returns the answers since the last call. It waits for the first one.
func (s *Service) Collect(args *CollectArgs, reply *CollectReply) error {
	from := s.server.use(args.Session)
	s.server.mu.Lock()
	ready := from.ready
	s.server.mu.Unlock()
	select {
	case <-ready:
		<-s.server.config.Clock.After(collectDelay)
	case <-s.server.config.Clock.After(min(args.Wait, maxCollectWait)):
	}
	reply.Answers = s.server.takeAnswers(from)
	return nil
}

// use returns the session and notes its use. It drops the sessions that were not used for sessionTimeout.
func (s *Server) use(id SessionID) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	for other, candidate := range s.sessions {
		if now.Sub(candidate.usedAt) > sessionTimeout {
			s.config.Log.Info().Str("Session", string(other)).Int("Answers", len(candidate.answers)).Msg("leader no longer uses its relay session; dropping it")
			delete(s.sessions, other)
		}
	}
	used := s.sessions[id]
	if used == nil {
		used = &session{ready: make(chan struct{})}
		s.sessions[id] = used
		s.config.Log.Info().Str("Session", string(id)).Msg("relaying orders of a leader")
	}
	used.usedAt = now
	return used
}

// reading returns the present reading of the relay's clock.
func (s *Server) reading() Reading {
	return Reading{Process: s.process, At: s.config.Clock.Since(s.beganAt)}
}

// checkTransit returns an error of kind Unavailable when a batch was on its way for more than transitMargin, or may have been. A
// relay whose process or network link stood still must not carry out what the leader has given up on meanwhile.
func (s *Server) checkTransit(from *session, args *DispatchArgs) error {
	var late time.Duration
	switch args.Reading.Process {
	case s.process:
		// The age counts from the receipt of the reading, so the difference is at least the time that the batch was on its way.
		late = s.reading().At - args.Reading.At - args.ReadingAge
	case 0:
		late = s.sessionLateness(from, args.SentAt)
	default:
		return errs.New(errs.Unavailable, "the relay has restarted and does not know when the order was sent; nothing was done")
	}
	if late > transitMargin {
		return errs.New(errs.Unavailable, "the order arrived up to %s late at the relay; nothing was done", late)
	}
	return nil
}

// sessionLateness returns how much longer than the quickest batch of its session a batch was on its way.
func (s *Server) sessionLateness(from *session, sentAt time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	began := s.config.Clock.Now().Add(-sentAt)
	if from.leaderClock.IsZero() || began.Before(from.leaderClock) {
		from.leaderClock = began
	}
	return began.Sub(from.leaderClock)
}

func (s *Server) addAnswer(to *session, a Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	to.answers = append(to.answers, a)
	if len(to.answers) == 1 {
		close(to.ready)
	}
	if excess := len(to.answers) - maxAnswers; excess > 0 {
		s.config.Log.Warn().Int("Dropped", excess).Msg("leader does not collect its answers; dropping the oldest")
		to.answers = to.answers[excess:]
	}
}

func (s *Server) takeAnswers(from *session) []Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := from.answers
	if len(out) > 0 {
		from.answers, from.ready = nil, make(chan struct{})
	}
	return out
}

// remoteError returns the error of an answer.
func (a *Answer) remoteError() error {
	if a.Error == "" {
		return nil
	}
	return errs.Decode(a.Error)
}
