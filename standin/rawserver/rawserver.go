// Package rawserver is a stand-in of a backend server that speaks HTTP/1.1 and
// whose responses are written by a test, byte by byte.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// Answer writes what the server sends for a request, which is the number-th of its
// connection, from 0. It returns false to close the connection.
type Answer func(conn net.Conn, number int, request *http.Request, body []byte) bool

// Server answers requests until it is closed.
type Server struct {
	listener    net.Listener
	answer      Answer
	connections atomic.Int64
}

// Listen returns a server on the loopback network.
func Listen(answer Answer) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	server := &Server{listener: listener, answer: answer}
	go server.accept()
	return server, nil
}

// Address returns the address of the server.
func (s *Server) Address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// Connections returns the number of connections that were accepted.
func (s *Server) Connections() int { return int(s.connections.Load()) }

// Close ends the accepting of connections.
func (s *Server) Close() error { return s.listener.Close() }

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !s.answer(conn, number, request, body) {
			return
		}
	}
}
