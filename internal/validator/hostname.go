package validator

import (
	"net"
	"strings"
)

// HostName returns the normal form of a host in a request or a route: in lower case, without a port, the brackets of an IPv6
// address or the dot at the end of a fully qualified name.
func HostName(host string) string {
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	host = strings.TrimSuffix(strings.TrimPrefix(host, "["), "]")
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
