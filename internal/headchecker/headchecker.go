// Package headchecker checks the heads and trailers of HTTP/1.1 messages against the grammar of RFC 9112 before the HTTP
// library parses them. The library is lenient: the next recipient can read what it accepts in another way.
package headchecker

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// CheckRequest waits until r has buffered the head of a request, and checks it. Empty lines before the head are accepted
// (RFC 9112, section 2.2). Nothing is consumed.
//
// The error wraps ErrMalformed and is a *MalformedError as soon as a line is complete that does not conform. It is
// bufio.ErrBufferFull for a head that does not fit into the buffer, io.EOF for an empty stream, io.ErrUnexpectedEOF for a
// head that is cut, and otherwise the error of reading.
func CheckRequest(r *bufio.Reader) error {
	return checkLines(r, &section{checkStartLine: checkRequestLine, skipsEmptyLines: true})
}

// CheckResponse does the same with the head of a response, which no empty line precedes.
func CheckResponse(r *bufio.Reader) error {
	return checkLines(r, &section{checkStartLine: checkStatusLine})
}

// DropTrailer checks the trailer section that ends a chunked body, from the line behind the last chunk on, and consumes it. Its
// fields are dropped: they are no header fields (RFC 9110, section 6.5.1), and nodes pass bodies on with a length, so that no
// trailer can follow. The error is one of CheckRequest's or that of the HTTP library for a field that trailers can't hold.
func DropTrailer(r *bufio.Reader) error {
	if err := checkLines(r, &section{followsCRLF: true}); err != nil {
		return err
	}
	var dropped fasthttp.ResponseHeader
	return dropped.ReadTrailer(r)
}

// checkLines checks each line of the section as soon as r has buffered it.
func checkLines(r *bufio.Reader, s *section) error {
	checked := 0
	for {
		// As many bytes are buffered, so that this does not fail.
		buffered, _ := r.Peek(r.Buffered())
		for {
			length := bytes.IndexByte(buffered[checked:], '\n') + 1
			if length == 0 {
				break
			}
			isEnd, err := s.checkLine(buffered[checked : checked+length])
			if isEnd || err != nil {
				return err
			}
			checked += length
		}
		if err := bufferMore(r); err != nil {
			return err
		}
	}
}

// bufferMore waits for a byte behind those that r has buffered.
func bufferMore(r *bufio.Reader) error {
	buffered := r.Buffered()
	_, err := r.Peek(buffered + 1)
	if buffered > 0 && errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
