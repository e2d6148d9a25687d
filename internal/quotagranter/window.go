package quotagranter

import "time"

// spanLength is the precision with which a window counts tokens. Those of a span that lies partly in the window count in whole.
const spanLength = 100 * time.Millisecond

// slidingWindow counts the tokens that were granted in the last time of a given length.
type slidingWindow struct {
	// counts is a ring of the tokens granted in each span, and last is the number of the newest span.
	counts []int
	last   int64
	total  int
}

// newSlidingWindow returns an empty window.
func newSlidingWindow(now, length time.Duration) *slidingWindow {
	return &slidingWindow{counts: make([]int, spansOf(length)), last: int64(now / spanLength)}
}

// spansOf returns the number of spans that a window of the length can touch.
func spansOf(length time.Duration) int {
	return int((length+spanLength-1)/spanLength) + 1
}

// resize changes the length. Tokens that were counted before then count as granted now.
func (s *slidingWindow) resize(now, length time.Duration) {
	s.advance(now)
	if spansOf(length) == len(s.counts) {
		return
	}
	total := s.total
	*s = *newSlidingWindow(now, length)
	s.add(now, total)
}

// advance forgets the spans that the window does not touch any more.
func (s *slidingWindow) advance(now time.Duration) {
	current := int64(now / spanLength)
	for range min(current-s.last, int64(len(s.counts))) {
		s.last++
		slot := &s.counts[s.last%int64(len(s.counts))]
		s.total -= *slot
		*slot = 0
	}
	s.last = max(s.last, current)
}

// add counts tokens that are granted now.
func (s *slidingWindow) add(now time.Duration, tokens int) {
	s.advance(now)
	s.counts[s.last%int64(len(s.counts))] += tokens
	s.total += tokens
}

// untilBelow returns how long it takes until the window holds at most the given number of tokens, if none are granted meanwhile.
func (s *slidingWindow) untilBelow(now time.Duration, most int) time.Duration {
	s.advance(now)
	spans := int64(len(s.counts))
	left := s.total
	for span := s.last - spans + 1; span <= s.last && left > most; span++ {
		left -= s.counts[((span%spans)+spans)%spans]
		if left <= most {
			return max(0, time.Duration(span+spans)*spanLength-now)
		}
	}
	return 0
}
