package rpc

import "github.com/lesismal/nbio"

// maxIgnoredBytes is how much a refused caller may go on to send: most callers read the response only after they have
// sent the whole request.
const maxIgnoredBytes = 8 << 20

// onData parses bytes that a connection has received. nbio calls it in the event loop.
func (s *Server) onData(connection *nbio.Conn, data []byte) {
	s.accepted.Load()
	if c := serverConnOf(connection); c != nil {
		c.receive(data)
		return
	}
	connection.DataHandler()(connection, data)
}

// receive passes bytes to the parser, piece by piece, as far as the limits allow.
func (c *serverConn) receive(data []byte) {
	limits := c.server.limits()
	if c.sinceAsked.Load() > socketBytes {
		_ = c.updateInSocket() // releases the memory of bytes that the peer has acknowledged
	}
	for len(data) > 0 {
		if c.isEnding() || c.isIgnoring.Load() {
			c.ignore(len(data))
			return
		}
		piece := c.incoming.nextPiece(data)
		data = data[len(piece):]
		if r := c.check(piece, limits); r != nil {
			c.refuse(r)
			continue
		}
		if r := c.parse(piece, limits); r != nil {
			c.refuse(r)
		}
	}
	c.updateDeadline(limits)
}

// check returns the reason to refuse the request that is being received if one more piece arrives, or nil.
func (c *serverConn) check(piece []byte, limits Limits) *refusal {
	if c.requestCount() > limits.RequestsAhead {
		return &tooFarAhead
	}
	if r := c.incoming.check(len(piece), limits); r != nil {
		return r
	}
	if !c.reserveArrival(piece) {
		c.server.admission.evictLargest(c)
		return &outOfMemory
	}
	return nil
}

// reserveArrival reserves memory for one more piece of the request that is being received. A piece of a head is a line
// or a part of one.
func (c *serverConn) reserveArrival(piece []byte) bool {
	memory := int64(len(piece)) * arrivalFactor
	if c.incoming.isEmpty() {
		memory += requestBytes
	}
	if c.incoming.part == partHead && piece[len(piece)-1] == '\n' {
		memory += headerLineBytes
	}
	if !c.reserve(memory) {
		return false
	}
	c.arrived += memory
	return true
}

// parse passes a piece to the parser. It returns the reason to refuse the request, or nil.
func (c *serverConn) parse(piece []byte, limits Limits) *refusal {
	if err := c.parser.Parse(piece); err != nil {
		if c.incoming.body > limits.BodyBytes {
			return &bodyTooLarge
		}
		return &malformedRequest
	}
	return c.incoming.advance(piece, limits)
}

// ignore counts bytes that arrive after the end of the last request, and ends the connection if they are too many.
func (c *serverConn) ignore(n int) {
	if c.ignored += n; c.ignored > maxIgnoredBytes {
		c.terminate()
	}
}
