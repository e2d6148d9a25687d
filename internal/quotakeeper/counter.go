package quotakeeper

// TokenKind is what has become of tokens.
type TokenKind string

// The values of TokenKind.
const (
	// TokensAsked are asked for by this entry node, and TokensGranted those that granters have leased to it.
	TokensAsked   TokenKind = "asked"
	TokensGranted TokenKind = "granted"
	// TokensDenied are requests refused for the quota, and TokensUnknown those refused since no granter has answered.
	TokensDenied  TokenKind = "denied"
	TokensUnknown TokenKind = "unknown"
	// TokensExpired were not used in time.
	TokensExpired TokenKind = "expired"
	// TokensReturned were used for a request that reached no upstream.
	TokensReturned TokenKind = "returned"
	// TokensUsed have admitted a request, or its retry.
	TokensUsed TokenKind = "used"
)

// Results of questions, besides the reasons of granters that can't grant.
const (
	resultDenied  = "denied"
	resultFailed  = "failed"
	resultGranted = "granted"
	// resultLost is for questions without an answer before their tokens would expire.
	resultLost    = "lost"
	resultPartial = "partial"
	// resultRepeated is for rounds in which no granter could grant and all are asked once more.
	resultRepeated = "repeated"
	// resultSilent is for questions that were not answered before the next granter was asked.
	resultSilent = "silent"
)

// Counter counts tokens and questions.
type Counter interface {
	AddTokens(kind TokenKind, count int)
	CountQuestion(result string)
}

func resultOf(wanted, granted int) string {
	switch granted {
	case wanted:
		return resultGranted
	case 0:
		return resultDenied
	default:
		return resultPartial
	}
}
