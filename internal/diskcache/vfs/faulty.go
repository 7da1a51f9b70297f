package vfs

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"sync"
)

// sector is what a disk writes whole or not at all.
const sector = 512

// ErrPower is what every call says once the power is off.
var ErrPowerLoss = errors.New("the power is off")

// ErrRead is a read that the disk could not do.
var ErrIO = errors.New("input/output error")

// Faulty is a disk in memory that does what real ones do at their worst. Until a file is synced, each sector of each
// write, and each change of its size, may be on the medium or not when the power goes, in any combination; until
// the folder is synced, so may each creation, renaming and removal. Chance comes from the seed.
type FaultFS struct {
	mu    sync.Mutex
	rnd   *rand.Rand
	names map[string]*inode // as the running system sees them
	solid map[string]*inode // as the medium has them
	dir   []change          // of names, not synced yet
	off   bool
	lock  bool
	ops   int

	PowerLossAfter int   // the power goes at this write, sync, rename, removal or truncation; 0 for never
	CapacityBytes  int64 // bytes that fit; 0 for any number
	release        chan struct{}
	hung           bool

	FailRead   func(name string, at int64) bool // a read that fails
	ShortWrite func() bool                      // a write that stops half way
}

// change is one of names: what a name stands for from then on, nil for nothing. A renaming is two in one.
type change struct{ set map[string]*inode }

type inode struct {
	data    []byte // as the running system sees it
	medium  []byte
	pending []write
}

type write struct {
	at       int64
	data     []byte
	truncate bool // to the size at
}

// NewFaulty makes an empty disk.
func NewFaultFS(seed uint64) *FaultFS {
	return &FaultFS{rnd: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), names: map[string]*inode{}, solid: map[string]*inode{}}
}

// Ops is how many writes, syncs, renames, removals and truncations there were.
func (f *FaultFS) OpCount() int { f.mu.Lock(); defer f.mu.Unlock(); return f.ops }

// Stop lets every call wait until the function that it returns is called: a disk that hangs.
func (f *FaultFS) Hang() (release func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.release, f.hung = make(chan struct{}), true
	hang := f.release
	return func() {
		f.mu.Lock()
		f.hung = false
		f.mu.Unlock()
		close(hang)
	}
}

// enter waits out a hang and says whether the power is on. The caller holds mu on return.
func (f *FaultFS) enter() error {
	f.mu.Lock()
	for f.hung {
		hang := f.release
		f.mu.Unlock()
		<-hang
		f.mu.Lock()
	}
	if f.off {
		return ErrPowerLoss
	}
	return nil
}

// step counts an operation and cuts the power at its turn. What is under way may come to be or not.
func (f *FaultFS) step() bool {
	f.ops++
	if f.PowerLossAfter > 0 && f.ops >= f.PowerLossAfter {
		f.off = true
	}
	return f.off
}

// Restart brings the power back: what the medium has is all there is.
func (f *FaultFS) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.dir {
		if f.rnd.IntN(2) == 0 { // later ones may be kept while earlier ones are lost
			c.apply(f.solid)
		}
	}
	f.dir, f.off, f.lock, f.PowerLossAfter, f.ops = nil, false, false, 0, 0
	seen := map[*inode]bool{}
	f.names = map[string]*inode{}
	names := make([]string, 0, len(f.solid))
	for name := range f.solid {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		i := f.solid[name]
		if f.names[name] = i; seen[i] {
			continue
		}
		seen[i] = true
		keepOdds := [3]float64{0, 0.5, 1}[f.rnd.IntN(3)] // all lost, some kept, all kept
		for _, w := range i.pending {
			i.tear(w, func() bool { return f.rnd.Float64() < keepOdds })
		}
		i.pending = nil
		i.data = append([]byte(nil), i.medium...)
	}
}

// tear brings those sectors of a write to the medium that chance keeps.
func (i *inode) tear(w write, keep func() bool) {
	if w.truncate {
		if keep() {
			i.medium = resize(i.medium, w.at)
		}
		return
	}
	for at, end := w.at, w.at+int64(len(w.data)); at < end; {
		next := min((at/sector+1)*sector, end)
		if keep() {
			i.medium = put(i.medium, w.data[at-w.at:next-w.at], at)
		}
		at = next
	}
}

func put(data, p []byte, at int64) []byte {
	if end := at + int64(len(p)); end > int64(len(data)) {
		data = resize(data, end)
	}
	copy(data[at:], p)
	return data
}

func resize(data []byte, size int64) []byte {
	if size <= int64(len(data)) {
		return data[:size:size]
	}
	return append(data, make([]byte, size-int64(len(data)))...)
}

func (c change) apply(names map[string]*inode) {
	for name, i := range c.set {
		if i == nil {
			delete(names, name)
		} else {
			names[name] = i
		}
	}
}

func (f *FaultFS) rename(c change) {
	c.apply(f.names)
	f.dir = append(f.dir, c)
}

// Create implements FS.
func (f *FaultFS) Create(name string) (File, error) {
	defer f.mu.Unlock()
	if err := f.enter(); err != nil {
		return nil, err
	}
	i := &inode{}
	f.rename(change{map[string]*inode{name: i}})
	if f.step() {
		return nil, ErrPowerLoss
	}
	return &handle{f, name, i}, nil
}

// Open implements FS.
func (f *FaultFS) Open(name string) (File, error) {
	defer f.mu.Unlock()
	if err := f.enter(); err != nil {
		return nil, err
	}
	i := f.names[name]
	if i == nil {
		return nil, fmt.Errorf("%s: %w", name, ErrNotExist)
	}
	return &handle{f, name, i}, nil
}

// Rename implements FS.
func (f *FaultFS) Rename(from, to string) error {
	defer f.mu.Unlock()
	if err := f.enter(); err != nil {
		return err
	}
	i := f.names[from]
	if i == nil {
		return fmt.Errorf("%s: %w", from, ErrNotExist)
	}
	f.rename(change{map[string]*inode{from: nil, to: i}})
	if f.step() {
		return ErrPowerLoss
	}
	return nil
}

// Remove implements FS.
func (f *FaultFS) Remove(name string) error {
	defer f.mu.Unlock()
	if err := f.enter(); err != nil {
		return err
	}
	if f.names[name] == nil {
		return fmt.Errorf("%s: %w", name, ErrNotExist)
	}
	f.rename(change{map[string]*inode{name: nil}})
	if f.step() {
		return ErrPowerLoss
	}
	return nil
}

// List implements FS.
func (f *FaultFS) List() ([]string, error) {
	defer f.mu.Unlock()
	if err := f.enter(); err != nil {
		return nil, err
	}
	names := make([]string, 0, len(f.names))
	for name := range f.names {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

// SyncDir implements FS.
func (f *FaultFS) SyncDir() error {
	defer f.mu.Unlock()
	if err := f.enter(); err != nil {
		return err
	}
	if f.step() {
		return ErrPowerLoss
	}
	for _, c := range f.dir {
		c.apply(f.solid)
	}
	f.dir = nil
	return nil
}

// Lock implements FS.
func (f *FaultFS) Lock(string) (func(), error) {
	defer f.mu.Unlock()
	if err := f.enter(); err != nil {
		return nil, err
	}
	if f.lock {
		return nil, ErrLocked
	}
	f.lock = true
	return func() { f.mu.Lock(); f.lock = false; f.mu.Unlock() }, nil
}

// Flip turns over one bit of a file, on the medium and off it.
func (f *FaultFS) FlipBit(name string, at int64, bit byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.names[name]
	for _, data := range [][]byte{i.data, i.medium} {
		if at < int64(len(data)) {
			data[at] ^= 1 << (bit & 7)
		}
	}
}

// Bytes is a copy of a file as the running system sees it, nil where there is none.
func (f *FaultFS) Contents(name string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := f.names[name]; i != nil {
		return append([]byte{}, i.data...)
	}
	return nil
}

type handle struct {
	f    *FaultFS
	name string
	i    *inode
}

func (h *handle) ReadAt(p []byte, at int64) (int, error) {
	defer h.f.mu.Unlock()
	if err := h.f.enter(); err != nil {
		return 0, err
	}
	if h.f.FailRead != nil && h.f.FailRead(h.name, at) {
		return 0, ErrIO
	}
	if at >= int64(len(h.i.data)) {
		return 0, io.EOF
	}
	n := copy(p, h.i.data[at:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (h *handle) WriteAt(p []byte, at int64) (int, error) {
	defer h.f.mu.Unlock()
	if err := h.f.enter(); err != nil {
		return 0, err
	}
	err, n := error(nil), len(p)
	if h.f.CapacityBytes > 0 && h.f.used()+max(at+int64(n)-int64(len(h.i.data)), 0) > h.f.CapacityBytes {
		n, err = n/2, ErrNoSpace
	} else if h.f.ShortWrite != nil && h.f.ShortWrite() {
		n, err = n/2, io.ErrShortWrite
	}
	w := write{at: at, data: append([]byte(nil), p[:n]...)}
	h.i.data = put(h.i.data, w.data, at)
	h.i.pending = append(h.i.pending, w)
	if h.f.step() {
		return 0, ErrPowerLoss
	}
	return n, err
}

func (f *FaultFS) used() (sum int64) {
	for _, i := range f.names {
		sum += int64(len(i.data))
	}
	return sum
}

func (h *handle) Size() (int64, error) {
	defer h.f.mu.Unlock()
	if err := h.f.enter(); err != nil {
		return 0, err
	}
	return int64(len(h.i.data)), nil
}

func (h *handle) Truncate(size int64) error {
	defer h.f.mu.Unlock()
	if err := h.f.enter(); err != nil {
		return err
	}
	h.i.data = resize(h.i.data, size)
	h.i.pending = append(h.i.pending, write{at: size, truncate: true})
	if h.f.step() {
		return ErrPowerLoss
	}
	return nil
}

func (h *handle) Sync() error {
	defer h.f.mu.Unlock()
	if err := h.f.enter(); err != nil {
		return err
	}
	if h.f.step() {
		return ErrPowerLoss
	}
	for _, w := range h.i.pending {
		h.i.tear(w, func() bool { return true })
	}
	h.i.pending = nil
	return nil
}

func (h *handle) Close() error { return nil }
