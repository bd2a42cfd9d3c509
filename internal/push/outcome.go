package push

import "github.com/go-faster/errors"

// outcome names what came of an order.
type outcome string

const (
	outcomeTaken         outcome = "taken"
	outcomeFenced        outcome = "fenced"
	outcomeRefused       outcome = "refused"
	outcomeOtherLifetime outcome = "other-lifetime"
	outcomeUnanswered    outcome = "unanswered"
)

// outcomeOf returns the outcome that a call's error tells.
func outcomeOf(err error) outcome {
	switch {
	case err == nil:
		return outcomeTaken
	case errors.Is(err, ErrFenced):
		return outcomeFenced
	case errors.Is(err, ErrRefused):
		return outcomeRefused
	case errors.Is(err, ErrOtherLifetime):
		return outcomeOtherLifetime
	}
	return outcomeUnanswered
}

// err returns the error of a port for the outcome, or nil.
func (o outcome) err() error {
	switch o {
	case outcomeTaken:
		return nil
	case outcomeFenced:
		return ErrFenced
	case outcomeRefused:
		return ErrRefused
	case outcomeOtherLifetime:
		return ErrOtherLifetime
	}
	return ErrUnanswered
}
