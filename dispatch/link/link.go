// Package link keeps the state of one side of a link between an entry and an
// agent: frame numbers, acknowledgements, heartbeats, and when to take the link
// for silent. It does no I/O and reads no clock; callers serialize all calls.
//
// An open connection may go silent for good while new ones work. The only sign
// is that an acknowledgement stays out. So each side acknowledges frames with
// content within AckDelay, on frames that flow anyway where there are any, and
// takes the link for silent when its own content is not acknowledged in
// AckTimeout, or nothing at all arrives in HeartbeatTimeout.
package link

import (
	"cmp"
	"time"
)

// Options are the times of a link; the zero value of a field takes the default.
type Options struct {
	// AckDelay is how long an acknowledgement may wait for a frame to ride on.
	AckDelay time.Duration
	// AckTimeout is when content without acknowledgement makes the link silent.
	// It must exceed AckDelay and a round trip.
	AckTimeout time.Duration
	// Heartbeat is the longest time without a frame.
	Heartbeat time.Duration
	// HeartbeatTimeout is when a link without any frame is silent.
	HeartbeatTimeout time.Duration
}

// Defaults of Options.
const (
	DefaultAckDelay         = 200 * time.Millisecond
	DefaultAckTimeout       = 500 * time.Millisecond
	DefaultHeartbeat        = 5 * time.Second
	DefaultHeartbeatTimeout = 12 * time.Second
)

// WithDefaults returns the options with zero fields set.
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
	peerAcked uint64 // highest of ours that the peer has acknowledged
	needsAck  uint64 // highest of ours that carried content

	lastSent  time.Time
	lastHeard time.Time
	ackDue    time.Time // zero: nothing to acknowledge
	unacked   time.Time // when the oldest unacknowledged content was sent; zero: none

	// next is kept because an entry asks all of its links after each input.
	next time.Time
}

// Up starts the session of a new connection.
func (s *Session) Up(now time.Time, epoch uint64, opts Options) {
	*s = Session{opts: opts, epoch: epoch, up: true, lastSent: now, lastHeard: now}
	s.schedule()
}

// Down ends the session.
func (s *Session) Down() { s.up = false }

// IsUp reports whether the session has a connection that is not known to be lost.
func (s *Session) IsUp() bool { return s.up }

// Epoch is the number of the link between the two processes.
func (s *Session) Epoch() uint64 { return s.epoch }

// Acked is the highest own frame that the peer has acknowledged.
func (s *Session) Acked() uint64 { return s.peerAcked }

// Received takes in the numbers of a frame. It returns false for a frame that
// must be ignored: the link is down, or the frame is not the next one.
func (s *Session) Received(now time.Time, seq, ack uint64, content bool) bool {
	if !s.up || seq != s.received+1 || ack > s.sent {
		return false
	}
	s.received = seq
	s.lastHeard = now
	if ack > s.peerAcked {
		s.peerAcked = ack
		s.unacked = time.Time{}
		if s.needsAck > ack {
			s.unacked = now
		}
	}
	if content && s.ackDue.IsZero() {
		s.ackDue = now.Add(s.opts.AckDelay)
	}
	s.schedule()
	return true
}

// Send returns the numbers for the next frame. Content asks the peer for an
// acknowledgement.
func (s *Session) Send(now time.Time, content bool) (seq, ack uint64) {
	s.sent++
	s.lastSent = now
	s.ackDue = time.Time{}
	if content {
		s.needsAck = s.sent
		if s.unacked.IsZero() {
			s.unacked = now
		}
	}
	s.schedule()
	return s.sent, s.received
}

// Settled reports whether the peer has acknowledged all content.
func (s *Session) Settled() bool { return s.peerAcked >= s.needsAck }

// Due reports whether a frame must go out now even without content.
func (s *Session) Due(now time.Time) bool {
	if !s.up {
		return false
	}
	if !s.ackDue.IsZero() && !now.Before(s.ackDue) {
		return true
	}
	return !now.Before(s.lastSent.Add(s.opts.Heartbeat))
}

// Silent reports whether the link must be taken for lost.
func (s *Session) Silent(now time.Time) bool {
	if !s.up {
		return false
	}
	if !s.unacked.IsZero() && !now.Before(s.unacked.Add(s.opts.AckTimeout)) {
		return true
	}
	return !now.Before(s.lastHeard.Add(s.opts.HeartbeatTimeout))
}

// Next is when Due or Silent may turn true; zero for a link that is down.
func (s *Session) Next() time.Time {
	if !s.up {
		return time.Time{}
	}
	return s.next
}

// schedule sets next after a change.
func (s *Session) schedule() {
	next := s.lastSent.Add(s.opts.Heartbeat)
	next = Earlier(next, s.lastHeard.Add(s.opts.HeartbeatTimeout))
	next = Earlier(next, s.ackDue)
	if !s.unacked.IsZero() {
		next = Earlier(next, s.unacked.Add(s.opts.AckTimeout))
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
