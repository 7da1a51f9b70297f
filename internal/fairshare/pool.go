// Package fairshare divides a limited resource among the connections that use it.
//
// A Pool owns an amount of a resource, such as bytes or places, and an Account is what one connection holds of it. A
// connection that holds nothing may take whatever is free. One that holds some may take more only as long as its total
// does not exceed what is free ("dynamic thresholds", Choudhury and Hahne 1998): with n connections that take all they
// can, each holds one part of n+1, and the last part stays free for others. So a flood on one connection is limited by
// itself, no connection has a fixed quota, and an idle pool is nearly all at the disposal of one connection.
//
// The package starts no goroutine and does no I/O. Its types are safe for concurrent use.
package fairshare

import (
	"context"
	"errors"
	"slices"
	"sync"
)

// ErrTooLarge is returned for an amount that exceeds the size of the pool.
var ErrTooLarge = errors.New("amount exceeds the size of the pool")

// Account is what one connection holds of a pool. Its zero value holds nothing. It belongs to one pool, whose lock
// guards it.
type Account struct{ held int64 }

// Pool is an amount of a resource that connections share. Create it with New.
type Pool struct {
	size int64

	mu      sync.Mutex // guards the fields below, and the accounts of the pool
	used    int64
	waiters []*waiter // in order of arrival
}

// waiter is a call of Acquire that waits.
type waiter struct {
	account *Account
	amount  int64
	granted chan struct{} // closed when the amount was taken for the waiter
}

// New returns a pool of a size.
func New(size int64) *Pool { return &Pool{size: size} }

// Size returns the size of the pool.
func (p *Pool) Size() int64 { return p.size }

// Used returns the amount that is in use.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// Awaited reports whether a call of Acquire waits.
func (p *Pool) Awaited() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiters) > 0
}

// OverShare reports whether an account holds more than what is free.
func (p *Pool) OverShare(account *Account) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return account.held > 0 && !p.fitsLocked(account, 0)
}

// TryAcquire takes an amount for an account, and reports whether the account's share and the pool have room for it. It
// fails while a connection within its share waits. A nil account holds nothing, so only the pool limits it.
func (p *Pool) TryAcquire(account *Account, amount int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.othersWaitLocked() || !p.fitsLocked(account, amount) {
		return false
	}
	p.takeLocked(account, amount)
	return true
}

// TryReserve is like TryAcquire, and leaves an account that holds something already within its share: it holds no more
// than what is free then, so that OverShare stays false as long as the others take nothing.
func (p *Pool) TryReserve(account *Account, amount int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.othersWaitLocked() || !p.fitsLocked(account, amount) {
		return false
	}
	if account != nil && account.held > 0 && account.held+amount > p.size-p.used-amount {
		return false
	}
	p.takeLocked(account, amount)
	return true
}

// Acquire takes an amount for an account, and waits until the account's share and the pool have room for it. Waiting
// connections that hold nothing are served in order, so that small amounts do not starve large ones; those over their
// share do not hold up others. It fails with the context's error, or with ErrTooLarge.
func (p *Pool) Acquire(ctx context.Context, account *Account, amount int64) error {
	if amount > p.size {
		return ErrTooLarge
	}
	p.mu.Lock()
	if !p.othersWaitLocked() && p.fitsLocked(account, amount) {
		p.takeLocked(account, amount)
		p.mu.Unlock()
		return nil
	}
	w := &waiter{account: account, amount: amount, granted: make(chan struct{})}
	p.waiters = append(p.waiters, w)
	p.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		return p.abandon(w, ctx.Err())
	}
}

// Release returns an amount that an account holds.
func (p *Pool) Release(account *Account, amount int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used -= amount
	if account != nil {
		account.held -= amount
	}
	p.grantLocked()
}

// abandon removes a waiter and returns its error, or nil if its amount was granted meanwhile.
func (p *Pool) abandon(w *waiter, err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.Index(p.waiters, w)
	if at < 0 {
		return nil
	}
	p.waiters = slices.Delete(p.waiters, at, at+1)
	p.grantLocked() // the waiter may have been the first in order
	return err
}

// fitsLocked reports whether an account may take an amount.
//
// It guards against one connection that takes the resource of all others, who then wait or are rejected.
func (p *Pool) fitsLocked(account *Account, amount int64) bool {
	free := p.size - p.used
	if account == nil || account.held == 0 {
		return amount <= free
	}
	return account.held+amount <= free
}

func (p *Pool) takeLocked(account *Account, amount int64) {
	p.used += amount
	if account != nil {
		account.held += amount
	}
}

// othersWaitLocked reports whether a connection that holds nothing waits.
func (p *Pool) othersWaitLocked() bool {
	return slices.ContainsFunc(p.waiters, (*waiter).holdsNothing)
}

func (w *waiter) holdsNothing() bool { return w.account == nil || w.account.held == 0 }

// grantLocked serves waiters in order, up to the first one that holds nothing and does not fit.
func (p *Pool) grantLocked() {
	kept := p.waiters[:0]
	for i, w := range p.waiters {
		if p.fitsLocked(w.account, w.amount) {
			p.takeLocked(w.account, w.amount)
			close(w.granted)
			continue
		}
		kept = append(kept, w)
		if w.holdsNothing() {
			kept = append(kept, p.waiters[i+1:]...)
			break
		}
	}
	clear(p.waiters[len(kept):])
	p.waiters = kept
}
