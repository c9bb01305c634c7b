package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// link is the path of requests from one party to another. While it is cut, requests on connections that were open
// before are held and delivered when the cut ends, and others are lost; in mode refuse, requests get 503.
type link struct {
	mu     sync.Mutex
	mode   linkMode
	healed chan struct{}
	cutAt  time.Time
}

type linkMode int

const (
	up linkMode = iota
	hold
	lose
	refuse
)

func (l *link) set(m linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mode == up && m != up {
		l.healed, l.cutAt = make(chan struct{}), time.Now()
	}
	if l.mode != up && m == up {
		close(l.healed)
	}
	l.mode = m
}

func (l *link) get() (linkMode, chan struct{}, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.healed, l.cutAt
}

type openedKey struct{}

func connContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, openedKey{}, time.Now())
}

// wrap applies the link's state to requests, and to their answers.
func (l *link) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch mode, healed, cutAt := l.get(); mode {
		case refuse:
			answer(w, 503, map[string]any{"error": "unavailable"})
			return
		case lose:
			hangUp(r)
		case hold:
			if opened, ok := r.Context().Value(openedKey{}).(time.Time); ok && opened.After(cutAt) {
				hangUp(r)
			}
			<-healed
		}
		b := &buffered{header: http.Header{}}
		h.ServeHTTP(b, r)
		if mode, healed, _ := l.get(); mode == hold {
			<-healed
		} else if mode == lose {
			hangUp(r)
		}
		if b.status == 0 {
			hangUp(r)
		}
		for k, v := range b.header {
			w.Header()[k] = v
		}
		w.WriteHeader(b.status)
		_, _ = w.Write(b.body)
	})
}

type buffered struct {
	header http.Header
	status int
	body   []byte
}

func (b *buffered) Header() http.Header { return b.header }
func (b *buffered) WriteHeader(s int)   { b.status = s }
func (b *buffered) Write(p []byte) (int, error) {
	b.body = append(b.body, p...)
	return len(p), nil
}

// proxy forwards connections between two nodes, one direction of requests.
type proxy struct {
	ln     net.Listener
	to     string
	mu     sync.Mutex
	mode   linkMode
	healed chan struct{}
	conns  map[net.Conn]bool
}

func newProxy(to string) *proxy {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &proxy{ln: ln, to: to, conns: map[net.Conn]bool{}}
	go p.serve()
	return p
}

func (p *proxy) serve() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.pipe(c)
	}
}

func (p *proxy) state() (linkMode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.healed
}

// set changes the mode: hold delays all bytes until the link is up again, lose resets connections and accepts none.
func (p *proxy) set(m linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == up && m != up {
		p.healed = make(chan struct{})
	}
	if p.mode != up && m == up {
		close(p.healed)
	}
	p.mode = m
	if m == lose {
		for c := range p.conns {
			c.Close()
		}
	}
}

func (p *proxy) pipe(c net.Conn) {
	mode, healed := p.state()
	if mode == lose || mode == refuse {
		c.Close()
		return
	}
	if mode == hold { // a connection attempt during a cut hangs
		select {
		case <-healed:
		case <-time.After(1500 * time.Millisecond):
		}
		c.Close()
		return
	}
	d, err := net.Dial("tcp4", p.to)
	if err != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[d] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	one := func(dst, src net.Conn) {
		buf := make([]byte, 64<<10)
		for {
			n, err := src.Read(buf)
			if n > 0 {
				if mode, healed := p.state(); mode == hold {
					<-healed
				}
				if _, werr := dst.Write(buf[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				if mode, healed := p.state(); mode == hold && err == io.EOF {
					<-healed
				}
				break
			}
		}
		done <- struct{}{}
	}
	go one(c, d)
	go one(d, c)
	<-done
	c.Close()
	d.Close()
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, d)
	p.mu.Unlock()
}
