package callerlimit

import (
	"container/list"
	"io"
	"net"
	"net/http"
	"time"
)

// tooManyFields is the response to a head with too many lines.
const tooManyFields = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\nthe request has too many header fields\n"

// limitedConn is a connection with its limits. Its fields are guarded by the mutex of
// the limiter.
type limitedConn struct {
	net.Conn
	limiter *Limiter

	// held is what the connection holds, in bytes; zero once closed is set.
	held   int64
	closed bool
	// done is closed when closed is set. forBound is set if that was because of a bound.
	done     chan struct{}
	forBound bool
	// closing is what the closed connection still holds.
	closing int64
	// requestsHeld is the part of held, or of closing, that running handlers hold.
	requestsHeld int64
	// running is the number of complete requests whose handlers run. writing is the number
	// of writes that wait for the caller; with streams, the number of the running requests
	// that write their response, so that it is at most running.
	running, writing int
	// element is the place in waiting; nil while a complete request runs, unless all of
	// those that run wait for the caller to read.
	element *list.Element

	// received reads the frames of the caller; only the goroutine that reads uses it. sent
	// reads those of the server; only the goroutine that writes uses it.
	received, sent frameReader
	// open holds the streams that the server hasn't ended and the caller hasn't reset.
	// lastStream is the last one that the caller began.
	open       map[uint32]struct{}
	lastStream uint32
	// unstarted is the number of streams that are charged and whose handlers haven't begun:
	// held is the cost of the connection, of these streams, of writes and requestsHeld.
	unstarted int
	// returned is the number of open streams whose handlers have returned. It and unstarted
	// may be too high after resets, until settle.
	returned int
	// handlers holds the requests of streams whose handlers run.
	handlers map[*http.Request]struct{}
	// resets is the number of open streams that the caller has reset since the last settle.
	// settling is set while a call of settle is scheduled.
	resets   int
	settling bool
	// headEnded is set from the end of a request's head until the next request. headLines
	// and headHeld are the lines and the cost of the head; lineLength is the length of its
	// last line so far.
	headEnded             bool
	headLines, lineLength int
	headHeld              int64
}

// NetConn returns the connection without the limits.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// startWaiting puts the connection at the end of those that wait. The mutex is held.
func (c *limitedConn) startWaiting() {
	c.stopWaiting()
	if !c.closed {
		c.element = c.limiter.waiting.PushBack(c)
	}
}

// stopWaiting removes the connection from those that wait. The mutex is held.
func (c *limitedConn) stopWaiting() {
	if c.element != nil {
		c.limiter.waiting.Remove(c.element)
		c.element = nil
	}
}

// beginHead is called when the response is written and the next request may come.
func (c *limitedConn) beginHead() {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	if !c.closed {
		c.release(c.headHeld)
		c.limiter.discard(c.headHeld)
	}
	c.headEnded, c.headLines, c.lineLength, c.headHeld = false, 0, 0, 0
	c.startWaiting()
}

// endHead is called when the handler of a request begins. The head of a pipelined request
// may have been read together with the request before, and wasn't counted then.
func (c *limitedConn) endHead() {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	c.headEnded = true
}

// release subtracts from what the connection holds. The mutex is held.
func (c *limitedConn) release(count int64) {
	if !c.closed {
		c.held -= count
		c.limiter.held -= count
	}
}

// Read reads, and counts the head of a request.
func (c *limitedConn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	if count == 0 {
		return count, err
	}
	if c.limiter.Streams {
		if frames := c.received.read(into[:count]); len(frames) > 0 {
			if begun, open := c.beginStreams(frames); !open || begun && !c.limiter.awaitRoom(c) {
				return 0, io.EOF
			}
		}
		return count, err
	}
	tooMany, counted, open := c.countHead(into[:count])
	if tooMany {
		// The response before was flushed, so nobody else writes now. The request hasn't
		// reached a handler.
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(c.Conn, tooManyFields)
		return 0, io.EOF
	}
	if !open || counted && !c.limiter.awaitRoom(c) {
		return 0, io.EOF
	}
	return count, err
}

// countHead counts the part of a head that content begins with. It reports whether the
// head has too many lines, whether content was part of a head, and whether the connection
// is still open.
func (c *limitedConn) countHead(content []byte) (tooMany, counted, open bool) {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	if c.headEnded {
		return false, false, !c.closed
	}
	if c.headHeld == 0 {
		// The wait for a request doesn't count as a part of it.
		c.startWaiting()
	}
	lines, size := 0, 0
	for _, letter := range content {
		size++
		if letter != '\n' {
			if letter != '\r' {
				c.lineLength++
			}
			continue
		}
		lines++
		if c.lineLength == 0 && c.headLines+lines > 1 {
			c.headEnded = true
			break
		}
		c.lineLength = 0
	}
	c.headLines += lines
	cost := int64(size*copies + lines*lineBytes)
	c.headHeld += cost
	if c.headLines > c.limiter.maxHeadLines() {
		return true, true, true
	}
	return false, true, c.limiter.charge(c, cost)
}

// Write writes, and counts the content as held until the caller has taken it.
func (c *limitedConn) Write(content []byte) (int, error) {
	if c.limiter.Streams {
		if frames := c.sent.read(content); len(frames) > 0 {
			c.endStreams(frames)
		}
	}
	if !c.beginWrite(int64(len(content))) {
		return 0, errClosed
	}
	defer c.endWrite(int64(len(content)))
	if timeout := c.limiter.WriteTimeout; timeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(content)
}

// beginWrite makes the connection one that waits, because its caller may not read. With
// streams, the write may be that of another response than those of the requests that run.
func (c *limitedConn) beginWrite(count int64) bool {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	if !c.limiter.Streams {
		c.writing++
		c.updateWaiting()
	}
	return c.limiter.charge(c, count)
}

func (c *limitedConn) endWrite(count int64) {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	c.release(count)
	if !c.limiter.Streams {
		c.writing--
		c.updateWaiting()
	}
}

// beginResponse is beginWrite for the response of one stream.
func (c *limitedConn) beginResponse(r *streamResponse) bool {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	r.element = c.limiter.unread.PushBack(r)
	if r.running {
		c.writing++
		c.updateWaiting()
	}
	return c.limiter.charge(c, r.held)
}

func (c *limitedConn) endResponse(r *streamResponse) {
	c.limiter.mutex.Lock()
	c.releaseResponse(r)
	if r.running {
		c.writing--
		c.updateWaiting()
	}
	c.limiter.mutex.Unlock()
	// No abort begins after the release.
	r.aborting.Wait()
}

// releaseResponse releases what a response holds, once. The mutex is held.
func (c *limitedConn) releaseResponse(r *streamResponse) {
	if r.element != nil {
		c.limiter.unread.Remove(r.element)
		r.element = nil
		c.release(r.held)
	}
}

// updateWaiting makes the connection one that waits, or no longer one. The mutex is held.
func (c *limitedConn) updateWaiting() {
	waits := c.running == 0 || c.writing > 0
	if c.limiter.Streams {
		waits = c.running == c.writing
	}
	switch {
	case !waits:
		c.stopWaiting()
	case c.element == nil:
		c.startWaiting()
	}
}

// beginStreams adds the cost of the streams that the caller begins. It reports whether
// there are any, and whether the connection is still open. A stream that the caller resets
// before its handler begins stays charged until then, or until settle, because the server
// may still hold its request.
func (c *limitedConn) beginStreams(frames []frame) (begun, open bool) {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	count := 0
	for _, f := range frames {
		if _, open := c.open[f.stream]; open && f.kind == frameTypeReset {
			delete(c.open, f.stream)
			c.resets++
			c.scheduleSettle()
		}
		// The handler of a stream that was reset may have returned before or since.
		c.returned = min(c.returned, len(c.open))
		// Headers of an earlier stream are trailers.
		if f.kind == frameTypeHeaders && f.stream > c.lastStream {
			c.lastStream = f.stream
			c.open[f.stream] = struct{}{}
			count++
		}
	}
	c.unstarted += count
	if c.resets > 0 {
		// net/http closes a connection with more.
		c.limitUnstarted(len(c.open) + c.limiter.maxStreams + c.limiter.maxQueued())
	}
	return count > 0, c.limiter.charge(c, int64(count)*streamBytes)
}

// scheduleSettle schedules a call of settle. The mutex is held.
func (c *limitedConn) scheduleSettle() {
	if !c.settling {
		c.settling = true
		time.AfterFunc(settleDelay, c.settle)
	}
}

// settle releases the cost of streams that were reset and whose handlers don't begin, because
// net/http has dropped or answered them. Besides those reset since the last call, only open
// streams without a running handler can be unstarted, or returned. While as many handlers as
// streams are allowed, net/http may hold more.
func (c *limitedConn) settle() {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	c.settling = false
	if c.closed {
		return
	}
	open := len(c.open)
	for request := range c.handlers {
		if open > 0 && request.Context().Err() == nil {
			open--
		}
	}
	c.returned = min(c.returned, open)
	unstarted := open + c.resets
	if len(c.handlers)+open >= c.limiter.maxStreams {
		unstarted += c.limiter.maxQueued()
	}
	c.limitUnstarted(unstarted)
	if c.resets > 0 || c.unstarted+c.returned > open {
		c.scheduleSettle()
	}
	c.resets = 0
}

// limitUnstarted releases the cost of unstarted streams beyond the count. The mutex is held.
func (c *limitedConn) limitUnstarted(count int) {
	if excess := c.unstarted - count; excess > 0 && !c.closed {
		c.unstarted -= excess
		c.release(int64(excess) * streamBytes)
		c.limiter.discard(int64(excess) * streamBytes)
	}
}

// endStreams releases the cost of the streams that the server ends and whose handlers
// don't begin: those that it refuses, and those that net/http answers. Handlers don't know
// their stream, so only the numbers are kept: a stream that ends while its handler runs
// releases another one early, which is charged again when its handler begins.
func (c *limitedConn) endStreams(frames []frame) {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	for _, f := range frames {
		// After a response, the server may reset the stream.
		if _, open := c.open[f.stream]; !open || !f.endsStream() {
			continue
		}
		delete(c.open, f.stream)
		switch {
		case c.returned > 0:
			c.returned--
		case c.unstarted > 0:
			c.unstarted--
			c.release(streamBytes)
			// The fields of its head weren't counted.
			c.limiter.discard(streamBytes)
		}
	}
}

// beginStream is called when the handler of a stream begins: from then on the handler
// holds the cost of the stream. It reports whether the connection is still open.
func (c *limitedConn) beginStream(request *http.Request) bool {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	c.handlers[request] = struct{}{}
	if c.unstarted == 0 {
		return c.holdRequest(streamBytes)
	}
	c.unstarted--
	c.requestsHeld += streamBytes
	return !c.closed
}

// chargeRequest adds to what the handler of a request holds, and reports whether the
// connection is still open.
func (c *limitedConn) chargeRequest(count int64) bool {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	return c.holdRequest(count)
}

// holdRequest is chargeRequest while the mutex is held.
func (c *limitedConn) holdRequest(count int64) bool {
	c.requestsHeld += count
	if c.closed {
		c.closing += count
		c.limiter.closing += count
		return false
	}
	return c.limiter.charge(c, count)
}

// completeRequest is called when a request was read to its end: the connection no longer
// waits for its caller to send.
func (c *limitedConn) completeRequest() {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	c.running++
	c.updateWaiting()
}

// endRequest releases the cost of a request whose handler has returned. A connection on
// which a complete request ran begins to wait anew.
func (c *limitedConn) endRequest(request *http.Request, cost int64, complete bool) {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	// net/http ends the context with the stream.
	if c.limiter.Streams && request.Context().Err() == nil {
		c.returned++
	}
	delete(c.handlers, request)
	c.requestsHeld -= cost
	c.release(cost)
	if c.closed {
		c.limiter.releaseClosing(c, cost)
	} else if c.limiter.Streams {
		// A stream's own cost is mostly that of a goroutine, which the runtime reuses.
		cost -= streamBytes
	}
	c.limiter.discard(cost)
	if !complete {
		return
	}
	c.running--
	if c.running == 0 {
		c.startWaiting()
	}
	c.updateWaiting()
}

// Close closes the connection. The server calls it when it no longer uses the connection.
func (c *limitedConn) Close() error {
	c.limiter.releaseClosed(c)
	return c.Conn.Close()
}

// CloseWrite closes the sending side. net/http uses it so that the caller can read the
// last response.
func (c *limitedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
