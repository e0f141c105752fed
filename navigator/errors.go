package navigator

import (
	"errors"
	"fmt"

	"github.com/twitchtv/twirp"
)

// NoHomeError reports that no host served a call as home of the shard. Cause is the
// error of the last attempt or of the context. It is nil if every called host replied
// that it is not home, or if no host is known.
type NoHomeError struct {
	Shard int32
	Cause error
}

// Error implements the error interface.
func (e *NoHomeError) Error() string {
	return fmt.Sprintf("no host served the call as home of shard %d: %v", e.Shard, e.Cause)
}

// Unwrap returns the error of the last attempt.
func (e *NoHomeError) Unwrap() error { return e.Cause }

// NotKeptError reports that the home of the shard can't keep the build that began a stream,
// because it is of an earlier release, which has no Bind. The host is healthy. Cause is the
// error of the call.
type NotKeptError struct {
	Shard int32
	Cause error
}

// Error implements the error interface.
func (e *NotKeptError) Error() string {
	return fmt.Sprintf("the home of shard %d keeps no versions of streams: %v", e.Shard, e.Cause)
}

// Unwrap returns the error of the call.
func (e *NotKeptError) Unwrap() error { return e.Cause }

// answerError carries an error that is the answer of a healthy home: callHome avoids no host for it,
// asks no other one, and returns Answer.
type answerError struct{ Answer error }

// Error implements the error interface.
func (e *answerError) Error() string { return e.Answer.Error() }

// Unwrap returns the answer.
func (e *answerError) Unwrap() error { return e.Answer }

// isMissingMethod reports whether a call failed because the called host's release does not
// have the method.
func isMissingMethod(err error) bool { return hasCode(err, twirp.BadRoute) }

// hasCode reports whether a called host answered with an error of a code.
func hasCode(err error, code twirp.ErrorCode) bool {
	var twirpErr twirp.Error
	return errors.As(err, &twirpErr) && twirpErr.Code() == code
}

// UnrecordableCode is the code of the error with which a home answers End for a turn that no home
// can record. The host is healthy.
const UnrecordableCode = twirp.OutOfRange
