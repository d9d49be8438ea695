package callerlimit

import "encoding/binary"

// Sizes, types and flags of HTTP/2 (RFC 9113, sections 3.4, 4.1 and 6).
const (
	prefaceBytes      = 24
	frameHeaderBytes  = 9
	frameTypeOffset   = 3
	frameFlagsOffset  = 4
	frameStreamOffset = 5
	frameTypeData     = 0
	frameTypeHeaders  = 1
	frameTypeReset    = 3
	frameLengthMask   = 0xffffff
	streamMask        = 1<<31 - 1
	flagEndStream     = 1
)

// frame is the header of an HTTP/2 frame.
type frame struct {
	kind, flags byte
	stream      uint32
}

// endsStream reports whether the frame ends its stream for the side that sends it.
func (f frame) endsStream() bool {
	return f.kind == frameTypeReset || f.flags&flagEndStream != 0
}

// frameReader finds the HTTP/2 frames that begin or end streams in one direction of a
// connection, so that streams are charged before the server creates them, and released
// when it ends them.
type frameReader struct {
	// skip is the number of bytes until the next frame header, and header the part of it
	// that was read.
	skip   int
	header []byte
}

// read returns the frames in the content that may begin or end a stream.
func (r *frameReader) read(content []byte) []frame {
	var frames []frame
	for len(content) > 0 {
		if r.skip > 0 {
			skipped := min(r.skip, len(content))
			r.skip -= skipped
			content = content[skipped:]
			continue
		}
		taken := min(frameHeaderBytes-len(r.header), len(content))
		r.header = append(r.header, content[:taken]...)
		content = content[taken:]
		if len(r.header) < frameHeaderBytes {
			continue
		}
		r.skip = int(binary.BigEndian.Uint32(r.header)>>8) & frameLengthMask
		f := frame{
			kind:   r.header[frameTypeOffset],
			flags:  r.header[frameFlagsOffset],
			stream: binary.BigEndian.Uint32(r.header[frameStreamOffset:]) & streamMask,
		}
		switch f.kind {
		case frameTypeData, frameTypeHeaders, frameTypeReset:
			if f.kind == frameTypeHeaders || f.endsStream() {
				frames = append(frames, f)
			}
		}
		r.header = r.header[:0]
	}
	return frames
}
