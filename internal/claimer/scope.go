package claimer

import (
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/headereditor"
	"github.com/marigoldrelay/marigoldrelay/internal/signer"
)

// Purposes of the keyed hashes in a Key's scope.
const (
	purposeCredentials = "idempotency-credentials"
	purposeRequest     = "idempotency-request"
	purposeWorkspace   = "idempotency-workspace"
)

// partSeparator follows each part of a request that is hashed. It occurs in none but the last one.
const partSeparator = "\n"

// scopeOf returns what separates the keys of one caller from those of others: a keyed hash of its workspace, if it has one, and
// its credentials, or of the whole request if it has neither. Callers without them can't be told apart, so that the same key of
// another request is none of theirs. The credentials themselves go nowhere.
func scopeOf(key *signer.Signer, workspace string, req *fasthttp.Request) string {
	host := []byte(string(req.Header.Host()) + partSeparator)
	if workspace != "" {
		credentials := headereditor.Joined(&req.Header, fasthttp.HeaderAuthorization)
		return key.Hex(purposeWorkspace, host, []byte(workspace+partSeparator), []byte(credentials))
	}
	if credentials := headereditor.Joined(&req.Header, fasthttp.HeaderAuthorization); credentials != "" {
		return key.Hex(purposeCredentials, host, []byte(credentials))
	}
	line := string(req.Header.Method()) + partSeparator + string(req.Header.RequestURI()) + partSeparator
	return key.Hex(purposeRequest, host, []byte(line), req.Body())
}
