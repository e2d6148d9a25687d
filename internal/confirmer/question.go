package confirmer

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrNoReplica is returned if no replica is known that could be asked.
var ErrNoReplica = merry.Sentinel("no replica of the register is known")

// Answer is a replica's answer to a question.
type Answer struct {
	// Revision is the newest revision of the register at some time after the question had arrived. The replica has it in force.
	Revision uint64 `json:"revision"`
}

// answeredQuestion is a question to a replica with its answer or error.
type answeredQuestion struct {
	answer  Answer
	err     error
	replica string
	// sentAt is the time on Uptime at which the question was sent. The answer is about a later time.
	sentAt time.Duration
}

// ask asks one replica after the other until one has answered. A further one is asked if the last one has failed or has not
// answered within patience; late answers still count. The error is that of the last failure, or of ctx.
func (c *Confirmer) ask(ctx context.Context) (answeredQuestion, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replicas := c.inOrder(c.Node.Replicas())
	answers := make(chan answeredQuestion, len(replicas))
	var lastErr error = ErrNoReplica
	for running, asked := 0, 0; asked < len(replicas) || running > 0; {
		var turn <-chan struct{}
		if asked < len(replicas) {
			go c.askReplica(ctx, replicas[asked], answers)
			asked++
			running++
			turn = c.after(ctx, patience)
		}
		select {
		case q := <-answers:
			running--
			if q.err == nil {
				return q, nil
			}
			lastErr = q.err
			c.avoid(q.replica)
		case <-turn:
			c.avoid(replicas[asked-1])
		case <-ctx.Done():
			return answeredQuestion{}, ctx.Err()
		}
	}
	return answeredQuestion{}, lastErr
}

// inOrder returns the replicas with those at the end that have not answered in time lately.
func (c *Confirmer) inOrder(replicas []string) []string {
	now := c.Clock.Now()
	var preferred, avoided []string
	for _, replica := range replicas {
		if now.Before(c.avoidUntil[replica]) {
			avoided = append(avoided, replica)
		} else {
			delete(c.avoidUntil, replica)
			preferred = append(preferred, replica)
		}
	}
	return append(preferred, avoided...)
}

func (c *Confirmer) avoid(replica string) {
	c.avoidUntil[replica] = c.Clock.Now().Add(avoidTime)
}

// after returns a channel that is closed when d has passed, unless ctx is done before.
func (c *Confirmer) after(ctx context.Context, d time.Duration) <-chan struct{} {
	expired := make(chan struct{})
	timer := c.Clock.AfterFunc(d, func() { close(expired) })
	context.AfterFunc(ctx, func() { timer.Stop() })
	return expired
}

func (c *Confirmer) askReplica(ctx context.Context, replica string, answers chan<- answeredQuestion) {
	// The time is taken before the question is sent, so that the answer is about a later time.
	q := answeredQuestion{replica: replica, sentAt: c.Uptime()}
	q.answer, q.err = c.Node.Ask(ctx, replica)
	answers <- q
}
