package exchanger

import (
	"errors"

	"github.com/citronpier/citronpier/validator"
)

// Defect is the metrics label for what is wrong with a broken response: its head is none in
// HTTP, or its end may be that of a part. Such a response is lost, whatever its status says.
type Defect string

// The defects of responses.
const (
	DefectStatus Defect = "status" // a status that HTTP does not have
	DefectHead   Defect = "head"   // another line that no head of a response has, or fields that frame no body
	DefectEnd    Defect = "end"    // an end with the connection, on which a write has failed
)

// DefectOf returns the defect that an error of Send or of Response.Read reports, and false if
// it reports none.
func DefectOf(err error) (Defect, bool) {
	var status *validator.StatusError
	var head *validator.HeadError
	var framing *FramingError
	var end *validator.EndError
	switch {
	case errors.As(err, &status):
		return DefectStatus, true
	case errors.As(err, &head), errors.As(err, &framing):
		return DefectHead, true
	case errors.As(err, &end):
		return DefectEnd, true
	default:
		return "", false
	}
}
