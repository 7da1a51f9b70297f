package clientproto

import (
	"math"
	"strconv"

	"cairnfront/internal/request"
)

// resultCodes maps each result to its code on the wire.
var resultCodes = [...]byte{
	request.Completed: 1,
	request.Rejected:  0,
	request.Aborted:   9,
}

// Codes in a readiness reply.
const (
	codeNotReady = 0
	codeReady    = 1
)

// AppendResponse appends a response without its body. The caller must append the body.
func AppendResponse(b []byte, streamID uint32, response request.Response) []byte {
	payload := AppendFields([]byte{resultCodes[response.Result]}, responseFields(response)...)
	b = AppendHeader(b, TypeResponse, streamID, len(payload)+response.Body.Len())
	return append(b, payload...)
}

func responseFields(response request.Response) []Field {
	var fields []Field
	if response.ETag != "" {
		fields = append(fields, Field{fieldETag, response.ETag})
	}
	if response.NotModified {
		fields = append(fields, Field{fieldNotModified, "1"})
	}
	retryAfterMillis := int(math.Ceil(response.RetryAfterSeconds * millisInSecond))
	if response.Result == request.Rejected && retryAfterMillis > 0 {
		fields = append(fields, Field{fieldRetryAfter, strconv.Itoa(retryAfterMillis)})
	}
	if response.ErrorText != "" {
		fields = append(fields, Field{fieldError, response.ErrorText})
	}
	return fields
}

// AppendReadinessReply appends the reply to a readiness query. The reply has no fields.
func AppendReadinessReply(b []byte, streamID uint32, ready bool) []byte {
	code := byte(codeNotReady)
	if ready {
		code = codeReady
	}
	payload := AppendFields([]byte{code})
	b = AppendHeader(b, TypeReadinessReply, streamID, len(payload))
	return append(b, payload...)
}
