package interpreter

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Cold is the time for which an upstream stays cold, as named in the headers of a response. The zero value means that the
// response names none.
type Cold struct {
	// Left is zero if the upstream is not cold.
	Left time.Duration
	// Named is true if the response has a valid time.
	Named bool
	// Invalid is true if the response has a time that can't be read.
	Invalid bool
}

// maxColdMilliseconds is the longest valid time: one day.
const maxColdMilliseconds = 24 * 60 * 60 * 1000

// ReadCold returns the time in the header with the given name: one decimal number of milliseconds, zero or above.
func ReadCold(header *fasthttp.ResponseHeader, name string) Cold {
	values := header.PeekAll(name)
	if len(values) == 0 {
		return Cold{}
	}
	milliseconds, err := strconv.ParseFloat(string(values[0]), 64)
	if len(values) > 1 || err != nil || !(milliseconds >= 0 && milliseconds <= maxColdMilliseconds) {
		return Cold{Invalid: true}
	}
	return Cold{Left: time.Duration(milliseconds * float64(time.Millisecond)), Named: true}
}
