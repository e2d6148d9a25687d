package quotagranter

import "time"

// maxDeniedTime limits the denied requests that a bucket counts, as the time in which it is refilled for them.
const maxDeniedTime = 30 * time.Second

// quotaShare is what one granter grants of a workspace's quota.
type quotaShare struct {
	// capacity and rate are those of the bucket, and debt is its level below zero when the granter begins: what an earlier granter
	// of the share can have granted at once, beyond what windows allow for.
	capacity, debt, rate float64
	// most is how many tokens are granted in any time of the length span.
	most int
	span time.Duration
}

// bucket is the token bucket of one workspace at one granter, with a limit on the tokens in a sliding window.
type bucket struct {
	capacity float64
	// denied estimates the number of denied requests whose callers will come back. Each refilled token serves one of them.
	denied float64
	level  float64
	// most is how many tokens the window may hold.
	most    int
	rate    float64
	updated time.Duration
	// window counts the tokens that were granted.
	window *slidingWindow
}

// newBucket returns the bucket of a granter that begins at a time. An earlier granter of the share, which was restarted or replaced,
// can have emptied a full bucket just before.
func newBucket(begins time.Duration, s quotaShare) *bucket {
	return &bucket{capacity: s.capacity, level: -s.debt, most: s.most, rate: s.rate, updated: begins, window: newSlidingWindow(begins, s.span)}
}

// refill adds the tokens since the last update.
func (b *bucket) refill(now time.Duration) {
	added := b.rate * max(0, now-b.updated).Seconds()
	b.updated = max(b.updated, now)
	b.level = min(b.capacity, b.level+added)
	b.denied = max(0, b.denied-added)
}

// resize changes the share. Tokens beyond the capacity are lost; a higher one gives no tokens.
func (b *bucket) resize(now time.Duration, s quotaShare) {
	b.refill(now)
	b.rate, b.capacity, b.most = s.rate, s.capacity, s.most
	b.level = min(b.level, s.capacity)
	b.window.resize(now, s.span)
}

// take removes as many of the wanted tokens as there are and returns their number.
func (b *bucket) take(now time.Duration, wanted int) int {
	b.window.advance(now)
	granted := max(0, min(wanted, int(b.level+rounding), b.most-b.window.total))
	if granted > 0 {
		b.level = max(0, b.level-float64(granted))
		b.window.add(now, granted)
	}
	return granted
}

// rounding keeps a token that is whole but for rounding errors.
const rounding = 1e-9

func (b *bucket) addDenied(count int) {
	b.denied = min(b.denied+float64(max(0, count)), b.rate*maxDeniedTime.Seconds())
}

// untilLevel returns how long it takes until the bucket holds the number of tokens.
func (b *bucket) untilLevel(tokens float64) time.Duration {
	return time.Duration(max(0, tokens-b.level) / b.rate * float64(time.Second))
}

// untilGrant returns how long it takes until the bucket can grant the number of tokens, as far as its window allows so many.
func (b *bucket) untilGrant(now time.Duration, tokens float64) time.Duration {
	return max(b.untilLevel(tokens), b.window.untilBelow(now, b.most-max(1, min(int(tokens), b.most))))
}

// isIdle reports whether a new bucket would have the same state.
func (b *bucket) isIdle() bool {
	return b.level >= b.capacity && b.denied == 0 && b.window.total == 0
}
