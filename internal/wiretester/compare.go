package wiretester

import (
	"iter"
	"net/http"
	"strings"
	"testing"
)

// hopFields are fields that a recipient consumes or adds for its own connection, and those that the HTTP library adds to each
// message, in lower case.
var hopFields = map[string]bool{
	"connection": true, "content-length": true, "content-type": true, "date": true, "host": true, "trailer": true,
	"transfer-encoding": true, "user-agent": true,
}

// CompareNames checks that the second reader takes the same field names, but for hopFields, from a message as the node has
// taken. The HTTP library drops some fields without a value. The message tells which one it is.
func CompareNames(tb testing.TB, message string, second http.Header, taken iter.Seq2[[]byte, []byte]) {
	tb.Helper()
	names := make(map[string]bool)
	for name := range taken {
		names[strings.ToLower(string(name))] = true
	}
	for name, values := range second {
		if lower := strings.ToLower(name); !names[lower] && !hopFields[lower] && strings.Join(values, "") != "" {
			tb.Errorf("%s: the second reader takes a field %q", message, name)
		}
	}
	for name := range names {
		if _, ok := second[http.CanonicalHeaderKey(name)]; !ok && !hopFields[name] {
			tb.Errorf("%s: the second reader takes no field %q", message, name)
		}
	}
}
