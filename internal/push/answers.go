package push

import (
	"slices"
	"sync"
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
)

const (
	// maxStoredAnswers and maxStoredBytes bound the answers of the advisor that an instance
	// keeps. An entry instance has 144 MB, and makes up to 100 calls while a ticket is
	// valid.
	maxStoredAnswers = 256
	maxStoredBytes   = 48 << 10
	// maxRecallBytes bounds the reply to a recall, which takes 90 ms on a link of 1.5 Mbit/s.
	maxRecallBytes = 16 << 10
	// maxAnswerAge is how long answers are kept. Their tickets expire before, but not the
	// knowledge which targets are good for a step.
	maxAnswerAge = 30 * time.Second
	// maxAdvisorTime is the longest time from the call of the advisor to a ticket's issue
	// after which the ticket is still taken to be valid.
	maxAdvisorTime = 2 * time.Second
	// answerOverhead and stringOverhead are the encoded bytes of an answer, without its
	// strings, and of a string's length.
	answerOverhead = 96
	stringOverhead = 3
)

// RecalledAnswer is an answer of the advisor that an instance has kept. Its times are
// durations, as clocks of instances differ.
type RecalledAnswer struct {
	// Step is the step's first task.
	Step graph.TaskRef
	// Good maps each target that may run the step to its ticket. Bad has the other targets
	// that the advisor was asked about.
	Good map[string]string
	Bad  []string
	// Age is the time since the advisor was called.
	Age time.Duration
	// Valid is how long the tickets are valid, or zero for the queue's default. Expired is
	// true once they have expired; they are left out then.
	Valid   time.Duration
	Expired bool
}

// asked returns the targets that the advisor was asked about.
func (r *RecalledAnswer) asked() []string {
	targets := slices.Clone(r.Bad)
	for id := range r.Good {
		targets = append(targets, id)
	}
	slices.Sort(targets)
	return targets
}

// isEmpty reports whether the answer says nothing.
func (r *RecalledAnswer) isEmpty() bool {
	return len(r.Good)+len(r.Bad) == 0
}

// size returns the approximate encoded size.
func (r *RecalledAnswer) size() int {
	size := answerOverhead + len(r.Step.Job)
	for id, ticket := range r.Good {
		size += len(id) + len(ticket) + 2*stringOverhead
	}
	for _, id := range r.Bad {
		size += len(id) + stringOverhead
	}
	return size
}

// storedAnswer is an answer, and the clock's reading when the advisor was called.
type storedAnswer struct {
	RecalledAnswer

	sentAt time.Duration
}

// answerStore keeps the advisor's latest answers to calls of this instance, for the next
// leader. It is bounded in number, bytes and age. Times are readings of the instance's own
// clock.
type answerStore struct {
	mu sync.Mutex
	// answers are the oldest first.
	answers []storedAnswer
	bytes   int
}

// add adds an answer to a call that was sent when the clock had the given reading.
func (s *answerStore) add(step graph.TaskRef, targets []string, advice Advice, sent time.Duration) {
	answer := RecalledAnswer{
		Step:  step,
		Good:  map[string]string{},
		Valid: advice.Valid,
	}
	for _, id := range targets {
		if ticket, ok := advice.Good[id]; ok {
			answer.Good[id] = ticket
		} else {
			answer.Bad = append(answer.Bad, id)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, storedAnswer{
		RecalledAnswer: answer,
		sentAt:         sent,
	})
	s.bytes += answer.size()
	for len(s.answers) > 0 && (len(s.answers) > maxStoredAnswers || s.bytes > maxStoredBytes ||
		sent-s.answers[0].sentAt > maxAnswerAge) {
		s.bytes -= s.answers[0].size()
		s.answers = slices.Delete(s.answers, 0, 1)
	}
}

// list returns the latest answers, those first, within a bound on their encoded size.
func (s *answerStore) list(now time.Duration, maxBytes int) []RecalledAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var answers []RecalledAnswer
	for _, stored := range slices.Backward(s.answers) {
		answer := stored.RecalledAnswer
		answer.Age = max(0, now-stored.sentAt)
		if answer.Age > maxAnswerAge {
			continue
		}
		answer.Expired = answer.Valid > 0 && answer.Age > answer.Valid+maxAdvisorTime
		if answer.Expired {
			answer.Good = withoutTickets(answer.Good)
		}
		if maxBytes -= answer.size(); maxBytes < 0 {
			break
		}
		answers = append(answers, answer)
	}
	return answers
}

// withoutTickets returns the good targets without their tickets.
func withoutTickets(good map[string]string) map[string]string {
	targets := make(map[string]string, len(good))
	for id := range good {
		targets[id] = ""
	}
	return targets
}
