// Package link implements the state of one side of a link between an entry and an agent: frame
// numbers, acknowledgements, heartbeats, and when to consider the link lost. It does no I/O and
// reads no clock; callers serialize all calls.
//
// An open connection may stop working for good while new ones work, and a missing
// acknowledgement is the only sign of that. So each side acknowledges frames with content
// within AckDelay, on frames that are sent anyway where there are any. It considers the link
// lost when its own content is not acknowledged within AckTimeout, or when nothing at all
// arrives within HeartbeatTimeout.
package link

import (
	"cmp"
	"time"
)

// Options holds the timeouts of a link; zero fields take the defaults.
type Options struct {
	// AckDelay is how long an acknowledgement may wait to be carried by another frame.
	AckDelay time.Duration
	// AckTimeout is the time after which unacknowledged content makes the link time out. It
	// must exceed AckDelay and a round trip.
	AckTimeout time.Duration
	// Heartbeat is the maximum time between two frames sent.
	Heartbeat time.Duration
	// HeartbeatTimeout is the time without any received frame after which the link times out.
	HeartbeatTimeout time.Duration
}

// Defaults of Options.
const (
	DefaultAckDelay         = 200 * time.Millisecond
	DefaultAckTimeout       = 500 * time.Millisecond
	DefaultHeartbeat        = 5 * time.Second
	DefaultHeartbeatTimeout = 12 * time.Second
)

// WithDefaults returns a copy of o with zero fields set to the defaults.
func (o Options) WithDefaults() Options {
	o.AckDelay = cmp.Or(o.AckDelay, DefaultAckDelay)
	o.AckTimeout = cmp.Or(o.AckTimeout, DefaultAckTimeout)
	o.Heartbeat = cmp.Or(o.Heartbeat, DefaultHeartbeat)
	o.HeartbeatTimeout = cmp.Or(o.HeartbeatTimeout, DefaultHeartbeatTimeout)
	return o
}

// Session is one side of a link. The zero value is a link that is down.
type Session struct {
	opts  Options
	epoch uint64
	up    bool

	sent      uint64 // number of the last frame sent
	received  uint64 // number of the last frame received
	peerAcked uint64 // highest own frame that the peer has acknowledged
	needsAck  uint64 // highest own frame with content

	lastSent     time.Time
	lastReceived time.Time
	ackDueAt     time.Time // zero if there is nothing to acknowledge
	unackedSince time.Time // when the oldest unacknowledged content was sent; zero if there is none

	// next is cached because an entry asks all of its links after each input.
	next time.Time
}

// Up starts the session of a new connection.
func (s *Session) Up(now time.Time, epoch uint64, opts Options) {
	*s = Session{opts: opts, epoch: epoch, up: true, lastSent: now, lastReceived: now}
	s.schedule()
}

// Down ends the session.
func (s *Session) Down() { s.up = false }

// IsUp reports whether the session has a connection that is not known to be lost.
func (s *Session) IsUp() bool { return s.up }

// Epoch returns the number of this link among those between the two processes.
func (s *Session) Epoch() uint64 { return s.epoch }

// Acked returns the highest own frame that the peer has acknowledged.
func (s *Session) Acked() uint64 { return s.peerAcked }

// Received records the numbers of a received frame. It returns false for a frame that must be
// ignored: the link is down, or the frame is not the next one.
func (s *Session) Received(now time.Time, seq, ack uint64, content bool) bool {
	if !s.up || seq != s.received+1 || ack > s.sent {
		return false
	}
	s.received = seq
	s.lastReceived = now
	if ack > s.peerAcked {
		s.peerAcked = ack
		s.unackedSince = time.Time{}
		if s.needsAck > ack {
			s.unackedSince = now
		}
	}
	if content && s.ackDueAt.IsZero() {
		s.ackDueAt = now.Add(s.opts.AckDelay)
	}
	s.schedule()
	return true
}

// Send returns the numbers for the next frame. A frame with content requests an acknowledgement
// from the peer.
func (s *Session) Send(now time.Time, content bool) (seq, ack uint64) {
	s.sent++
	s.lastSent = now
	s.ackDueAt = time.Time{}
	if content {
		s.needsAck = s.sent
		if s.unackedSince.IsZero() {
			s.unackedSince = now
		}
	}
	s.schedule()
	return s.sent, s.received
}

// AllAcked reports whether the peer has acknowledged all content.
func (s *Session) AllAcked() bool { return s.peerAcked >= s.needsAck }

// Due reports whether a frame must be sent now even without content.
func (s *Session) Due(now time.Time) bool {
	if !s.up {
		return false
	}
	if !s.ackDueAt.IsZero() && !now.Before(s.ackDueAt) {
		return true
	}
	return !now.Before(s.lastSent.Add(s.opts.Heartbeat))
}

// TimedOut reports whether the link has timed out and must be considered lost.
func (s *Session) TimedOut(now time.Time) bool {
	if !s.up {
		return false
	}
	if !s.unackedSince.IsZero() && !now.Before(s.unackedSince.Add(s.opts.AckTimeout)) {
		return true
	}
	return !now.Before(s.lastReceived.Add(s.opts.HeartbeatTimeout))
}

// Next returns when a frame becomes due or the link times out if nothing is sent or received
// until then; zero for a link that is down.
func (s *Session) Next() time.Time {
	if !s.up {
		return time.Time{}
	}
	return s.next
}

// schedule updates next after a change.
func (s *Session) schedule() {
	next := s.lastSent.Add(s.opts.Heartbeat)
	next = Earlier(next, s.lastReceived.Add(s.opts.HeartbeatTimeout))
	next = Earlier(next, s.ackDueAt)
	if !s.unackedSince.IsZero() {
		next = Earlier(next, s.unackedSince.Add(s.opts.AckTimeout))
	}
	s.next = next
}

// Earlier returns the earlier of two times; the zero time means never.
func Earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
