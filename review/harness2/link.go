package main

import (
	"io"
	"net"
	"sync"
)

// link is the path of clients to a machine. A machine without power says nothing: its connections stay open and transmit no more.
type link struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	silent bool
	conns  []net.Conn
}

func newLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	created := &link{listener: listener, target: target}
	go created.accept()
	return created, nil
}

func (link *link) address() string { return link.listener.Addr().String() }

func (link *link) silence() {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.silent = true
}

func (link *link) isSilent() bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.silent
}

func (link *link) close() {
	_ = link.listener.Close()
	link.mu.Lock()
	defer link.mu.Unlock()
	for _, conn := range link.conns {
		_ = conn.Close()
	}
}

func (link *link) accept() {
	for {
		near, err := link.listener.Accept()
		if err != nil {
			return
		}
		link.mu.Lock()
		link.conns = append(link.conns, near)
		link.mu.Unlock()
		if link.isSilent() {
			continue
		}
		far, err := net.Dial("tcp", link.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		go link.copy(near, far)
		go link.copy(far, near)
	}
}

func (link *link) copy(target, source net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		count, err := source.Read(buffer)
		if link.isSilent() {
			return // nothing arrives any more, not even the end of the connection
		}
		if count > 0 {
			if _, err := target.Write(buffer[:count]); err != nil {
				_ = source.Close()
				return
			}
		}
		if err != nil {
			if tcp, ok := target.(*net.TCPConn); ok && err == io.EOF {
				_ = tcp.CloseWrite()
			} else {
				_ = target.Close()
			}
			return
		}
	}
}
