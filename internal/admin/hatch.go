// Package hatch is the operators' door of a running program: a Unix socket of mode 0600 that takes lines of JSON. Who
// may ask is told by the kernel (the peer's credentials), not by a password: the program's own user and root.
package admin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Version is that of the lines.
const Version = 1

// Bounds of a door: it must not hold up the program that it is in.
const (
	mostConns   = 8
	mostRequest = 64 << 10
	mostAnswer  = 4 << 20
	patience    = 5 * time.Second
)

// Request is one line that comes in.
type Request struct {
	V    int               `json:"v"`
	Do   string            `json:"do"`
	Args map[string]string `json:"args,omitempty"`
}

// Answer is the line that goes out.
type Response struct {
	V     int             `json:"v"`
	OK    bool            `json:"ok"`
	Error string          `json:"error,omitempty"`
	Data  json.RawMessage `json:"data,omitempty"`
}

// Handler answers a request. It must keep to its context's time.
type Handler func(ctx context.Context, args map[string]string) (any, error)

// Door is a door. Handlers are set before Run.
type Server struct {
	Handlers map[string]Handler
	Count    func(name string, n int64)
	allowed  func(uid uint32) bool
}

// Listen makes the socket; one that a program which has ended left behind is replaced, any other file is not.
func Listen(path string) (net.Listener, error) {
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("%s is there and no socket", path)
		}
		if c, err := net.DialTimeout("unix", path, patience); err == nil {
			_ = c.Close()
			return nil, fmt.Errorf("%s is in use by another process", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("an old socket: %w", err)
		}
	}
	old := syscall.Umask(0o177) // nobody else may connect, not even for a moment
	ln, err := net.Listen("unix", path)
	syscall.Umask(old)
	if err != nil {
		return nil, fmt.Errorf("the operators' socket: %w", err)
	}
	return ln, nil
}

// Run serves until the context ends.
func (d *Server) Run(ctx context.Context, ln net.Listener) error {
	if d.allowed == nil {
		d.allowed = func(uid uint32) bool { return uid == 0 || int(uid) == os.Getuid() }
	}
	if d.Count == nil {
		d.Count = func(string, int64) {}
	}
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() { _ = ln.Close() })()
	places := make(chan struct{}, mostConns)
	for {
		c, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return g.Wait()
			}
			time.Sleep(10 * time.Millisecond)
			continue
		}
		select {
		case places <- struct{}{}:
		default:
			d.Count("hatch.turned-away", 1)
			_ = c.Close()
			continue
		}
		g.Go(func() error {
			defer func() { <-places }()
			defer c.Close()
			defer context.AfterFunc(ctx, func() { _ = c.Close() })()
			d.serve(ctx, c)
			return nil
		})
	}
}

// uidOf is the user of the process on the other side.
func uidOf(c net.Conn) (uint32, error) {
	u, ok := c.(*net.UnixConn)
	if !ok {
		return 0, errors.New("no Unix socket")
	}
	raw, err := u.SyscallConn()
	if err != nil {
		return 0, err
	}
	var cred *syscall.Ucred
	var inner error
	err = raw.Control(func(fd uintptr) {
		cred, inner = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	})
	if err = errors.Join(err, inner); err != nil {
		return 0, err
	}
	return cred.Uid, nil
}

func (d *Server) serve(ctx context.Context, c net.Conn) {
	_ = c.SetDeadline(time.Now().Add(patience))
	uid, err := uidOf(c)
	if err == nil && !d.allowed(uid) {
		err = fmt.Errorf("user %d may not ask here", uid)
	}
	if err != nil {
		d.Count("hatch.refused", 1)
		d.answer(c, nil, err)
		return
	}
	in := bufio.NewReaderSize(io.LimitReader(c, 1<<30), mostRequest)
	for {
		_ = c.SetDeadline(time.Now().Add(patience))
		line, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			d.answer(c, nil, fmt.Errorf("a line over %d bytes", mostRequest))
			return
		}
		if err != nil {
			return
		}
		data, err := d.handle(ctx, line)
		if !d.answer(c, data, err) {
			return
		}
	}
}

func (d *Server) handle(ctx context.Context, line []byte) (data any, err error) {
	var q Request
	if err := json.Unmarshal(line, &q); err != nil {
		return nil, fmt.Errorf("not a line of JSON as expected: %w", err)
	}
	if q.V != Version {
		return nil, fmt.Errorf("version %d, this program speaks %d", q.V, Version)
	}
	h := d.Handlers[q.Do]
	if h == nil {
		return nil, fmt.Errorf("unknown request %.40q", q.Do)
	}
	defer func() {
		if p := recover(); p != nil {
			d.Count("panics", 1)
			err = fmt.Errorf("the program failed at this: %v", p)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	d.Count("hatch."+q.Do, 1)
	return h(ctx, q.Args)
}

func (d *Server) answer(c net.Conn, data any, err error) bool {
	a := Response{V: Version, OK: err == nil}
	if err == nil {
		if a.Data, err = json.Marshal(data); err == nil && len(a.Data) > mostAnswer {
			err = fmt.Errorf("the answer has %d bytes, over %d: ask for less", len(a.Data), mostAnswer)
		}
	}
	if err != nil {
		a.OK, a.Error, a.Data = false, err.Error(), nil
	}
	text, err := json.Marshal(a)
	if err != nil {
		return false
	}
	_ = c.SetWriteDeadline(time.Now().Add(patience))
	_, err = c.Write(append(text, '\n'))
	return err == nil
}

// Ask asks a running program once.
func Call(path, do string, args map[string]string) (json.RawMessage, error) {
	c, err := net.DialTimeout("unix", path, patience)
	if err != nil {
		return nil, fmt.Errorf("asking at %s: %w", path, err)
	}
	defer c.Close()
	return exchange(c, path, do, args)
}

// exchange asks over a connection. A door that refuses the asker answers and closes without reading, maybe before the
// request is written; so a write that fails hides no answer that is already there.
func exchange(c net.Conn, path, do string, args map[string]string) (json.RawMessage, error) {
	_ = c.SetDeadline(time.Now().Add(2 * patience))
	text, err := json.Marshal(Request{Version, do, args})
	if err != nil {
		return nil, err
	}
	_, unsent := c.Write(append(text, '\n'))
	var a Response
	if err := json.NewDecoder(c).Decode(&a); err != nil {
		if unsent != nil {
			return nil, fmt.Errorf("asking at %s: %w", path, unsent)
		}
		return nil, fmt.Errorf("the answer from %s: %w", path, err)
	}
	if !a.OK {
		return nil, errors.New(a.Error)
	}
	return a.Data, nil
}
