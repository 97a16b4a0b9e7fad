package rpc

import (
	"context"
	"sync"
)

// Queue passes frames from the state machine's driver, which must not block, to the
// goroutine that writes them to a stream. It is unbounded: credits and
// acknowledgements limit the frames in flight, and an unresponsive link is closed
// within seconds. It is safe for concurrent use.
type Queue[T any] struct {
	mu     sync.Mutex
	items  []T
	closed bool
	wake   chan struct{}
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] { return &Queue[T]{wake: make(chan struct{}, 1)} }

// Put adds an item. After Close, the item is dropped.
func (q *Queue[T]) Put(item T) {
	q.mu.Lock()
	if !q.closed {
		q.items = append(q.items, item)
	}
	q.mu.Unlock()
	q.signal()
}

// Close closes the queue. Take then returns false, even if items are left.
func (q *Queue[T]) Close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.signal()
}

func (q *Queue[T]) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Take waits for items and returns all of them. It returns false if the queue is
// closed or the context has ended. Only one goroutine may call it.
func (q *Queue[T]) Take(ctx context.Context) ([]T, bool) {
	for {
		q.mu.Lock()
		items, closed := q.items, q.closed
		q.items = nil
		q.mu.Unlock()
		if closed {
			return nil, false
		}
		if len(items) > 0 {
			return items, true
		}
		select {
		case <-q.wake:
		case <-ctx.Done():
			return nil, false
		}
	}
}

// SendAll passes all items to send, in order, until the queue is closed, the context
// ends or send fails. It returns only the error of send. Only one goroutine may
// call it.
func (q *Queue[T]) SendAll(ctx context.Context, send func(T) error) error {
	for {
		items, ok := q.Take(ctx)
		if !ok {
			return nil
		}
		for _, i := range items {
			if err := send(i); err != nil {
				return err
			}
		}
	}
}
