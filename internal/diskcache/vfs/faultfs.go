package vfs

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
)

// Errors returned by a FaultFS.
var (
	// ErrPowerLoss is returned by every call between a power loss and the restart.
	ErrPowerLoss = errors.New("the power is off")
	// ErrIO is returned by reads selected by FailRead and by syncs selected by FailSync.
	ErrIO = errors.New("input/output error")
)

// FaultFS is an in-memory directory that simulates the faults of real disks. Until a file is synced, each sector of
// each write and each change of the file size may or may not survive a power loss, in any combination. Until the
// directory is synced, the same applies to each creation, renaming and removal. Which changes survive is determined by
// the seed.
//
// The exported fields may be set between calls.
type FaultFS struct {
	// PowerLossAfter is the number of the operation during which the power fails, counted as in OpCount; 0 means never.
	PowerLossAfter int
	// CapacityBytes is the capacity of the disk; 0 means no limit.
	CapacityBytes int64
	// FailRead selects reads that fail.
	FailRead func(name string, offset int64) bool
	// ShortWrite selects writes that stop after half of their bytes.
	ShortWrite func() bool
	// FailSync selects file syncs that fail. The unsynced writes never reach the medium, though the running system
	// still reads them.
	FailSync func() bool

	mu         sync.Mutex
	random     *rand.Rand
	names      map[string]*inode // directory entries as the running system sees them
	durable    map[string]*inode // directory entries on the medium
	unsynced   []nameChange
	poweredOff bool
	locked     bool
	opCount    int
	release    chan struct{} // closed when the current hang ends
	hanging    bool
}

// nameChange is a directory change: the new inode of each changed name, or nil for a removed name. A rename changes two
// names at once.
type nameChange map[string]*inode

func (c nameChange) apply(names map[string]*inode) {
	for name, node := range c {
		if node == nil {
			delete(names, name)
		} else {
			names[name] = node
		}
	}
}

// NewFaultFS returns an empty directory whose random choices are determined by seed.
func NewFaultFS(seed uint64) *FaultFS {
	return &FaultFS{
		random:  rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		names:   map[string]*inode{},
		durable: map[string]*inode{},
	}
}

// OpCount returns the number of writes, creations, renames, removals, truncations, and syncs of files and the directory
// since the last restart.
func (f *FaultFS) OpCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opCount
}

// Hang makes every later call block until release is called.
func (f *FaultFS) Hang() (release func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ended := make(chan struct{})
	f.release, f.hanging = ended, true
	return func() {
		f.mu.Lock()
		f.hanging = false
		f.mu.Unlock()
		close(ended)
	}
}

// beginOp waits until no hang is in progress and returns ErrPowerLoss if the power is off. It returns with mu locked.
func (f *FaultFS) beginOp() error {
	f.mu.Lock()
	for f.hanging {
		release := f.release
		f.mu.Unlock()
		<-release
		f.mu.Lock()
	}
	if f.poweredOff {
		return ErrPowerLoss
	}
	return nil
}

// countOp counts an operation and reports whether the power failed during it. Such an operation may or may not have
// taken effect after the restart.
func (f *FaultFS) countOp() (powerLost bool) {
	f.opCount++
	if f.PowerLossAfter > 0 && f.opCount >= f.PowerLossAfter {
		f.poweredOff = true
	}
	return f.poweredOff
}

// Restart turns the power on again. Only the data on the medium remains.
func (f *FaultFS) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, change := range f.unsynced {
		if f.random.IntN(2) == 0 { // later changes may survive while earlier ones are lost
			change.apply(f.durable)
		}
	}
	f.unsynced = nil
	f.poweredOff = false
	f.locked = false
	f.PowerLossAfter = 0
	f.opCount = 0
	f.names = map[string]*inode{}
	restored := map[*inode]bool{}
	for _, name := range sortedNames(f.durable) {
		node := f.durable[name]
		f.names[name] = node
		if !restored[node] {
			restored[node] = true
			f.restore(node)
		}
	}
}

// restore chooses at random which unsynced writes of a file have reached the medium.
func (f *FaultFS) restore(node *inode) {
	survivalProbability := [3]float64{0, 0.5, 1}[f.random.IntN(3)] // of each sector: none, some or all survive
	for _, w := range node.pending {
		node.commit(w, func() bool { return f.random.Float64() < survivalProbability })
	}
	node.pending = nil
	node.data = append([]byte(nil), node.medium...)
}

func sortedNames(names map[string]*inode) []string {
	out := make([]string, 0, len(names))
	for name := range names {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

func (f *FaultFS) changeNames(change nameChange) {
	change.apply(f.names)
	f.unsynced = append(f.unsynced, change)
}

// Create implements FS.
func (f *FaultFS) Create(name string) (File, error) {
	defer f.mu.Unlock()
	if err := f.beginOp(); err != nil {
		return nil, err
	}
	node := &inode{}
	f.changeNames(nameChange{name: node})
	if f.countOp() {
		return nil, ErrPowerLoss
	}
	return &faultFile{f, name, node}, nil
}

// Open implements FS.
func (f *FaultFS) Open(name string) (File, error) {
	defer f.mu.Unlock()
	if err := f.beginOp(); err != nil {
		return nil, err
	}
	node := f.names[name]
	if node == nil {
		return nil, fmt.Errorf("%s: %w", name, ErrNotExist)
	}
	return &faultFile{f, name, node}, nil
}

// Rename implements FS.
func (f *FaultFS) Rename(from, to string) error {
	defer f.mu.Unlock()
	if err := f.beginOp(); err != nil {
		return err
	}
	node := f.names[from]
	if node == nil {
		return fmt.Errorf("%s: %w", from, ErrNotExist)
	}
	f.changeNames(nameChange{from: nil, to: node})
	if f.countOp() {
		return ErrPowerLoss
	}
	return nil
}

// Remove implements FS.
func (f *FaultFS) Remove(name string) error {
	defer f.mu.Unlock()
	if err := f.beginOp(); err != nil {
		return err
	}
	if f.names[name] == nil {
		return fmt.Errorf("%s: %w", name, ErrNotExist)
	}
	f.changeNames(nameChange{name: nil})
	if f.countOp() {
		return ErrPowerLoss
	}
	return nil
}

// List implements FS.
func (f *FaultFS) List() ([]string, error) {
	defer f.mu.Unlock()
	if err := f.beginOp(); err != nil {
		return nil, err
	}
	return sortedNames(f.names), nil
}

// SyncDir implements FS.
func (f *FaultFS) SyncDir() error {
	defer f.mu.Unlock()
	if err := f.beginOp(); err != nil {
		return err
	}
	if f.countOp() {
		return ErrPowerLoss
	}
	for _, change := range f.unsynced {
		change.apply(f.durable)
	}
	f.unsynced = nil
	return nil
}

// Lock implements FS. The directory has a single lock; its name is ignored.
func (f *FaultFS) Lock(string) (func(), error) {
	defer f.mu.Unlock()
	if err := f.beginOp(); err != nil {
		return nil, err
	}
	if f.locked {
		return nil, ErrLocked
	}
	f.locked = true
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.locked = false
	}, nil
}

// FlipBit inverts a bit of a file, both on the medium and in the content that the running system sees.
func (f *FaultFS) FlipBit(name string, offset int64, bit byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.names[name]
	for _, data := range [][]byte{node.data, node.medium} {
		if offset < int64(len(data)) {
			data[offset] ^= 1 << (bit & 7)
		}
	}
}

// Contents returns a copy of a file as the running system sees it, or nil if there is none.
func (f *FaultFS) Contents(name string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	if node := f.names[name]; node != nil {
		return append([]byte{}, node.data...)
	}
	return nil
}

// usedBytes returns the total size of all files.
func (f *FaultFS) usedBytes() (sum int64) {
	for _, node := range f.names {
		sum += int64(len(node.data))
	}
	return sum
}
