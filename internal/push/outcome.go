package push

import "github.com/go-faster/errors"

// outcome is the result of an order, as encoded in relay replies and metrics.
type outcome string

const (
	outcomeTaken            outcome = "taken"
	outcomeFenced           outcome = "fenced"
	outcomeRefused          outcome = "refused"
	outcomeOtherIncarnation outcome = "other-lifetime"
	outcomeUnanswered       outcome = "unanswered"
	outcomeDown             outcome = "down"
)

// outcomeOf returns the outcome for the error of a call.
func outcomeOf(err error) outcome {
	switch {
	case err == nil:
		return outcomeTaken
	case errors.Is(err, ErrFenced):
		return outcomeFenced
	case errors.Is(err, ErrRefused):
		return outcomeRefused
	case errors.Is(err, ErrOtherIncarnation):
		return outcomeOtherIncarnation
	case errors.Is(err, ErrDown):
		return outcomeDown
	}
	return outcomeUnanswered
}

// err returns the Targets error for the outcome, or nil.
func (o outcome) err() error {
	switch o {
	case outcomeTaken:
		return nil
	case outcomeFenced:
		return ErrFenced
	case outcomeRefused:
		return ErrRefused
	case outcomeOtherIncarnation:
		return ErrOtherIncarnation
	case outcomeDown:
		return ErrDown
	}
	return ErrNoAnswer
}
