package frontend

import (
	"cairnfront/internal/request"
	"cairnfront/routing"
)

const (
	// sizeSampleWeight is the weight of a response in the mean size of its class.
	sizeSampleWeight = 0.125

	// maxBytesPerKB: by the protocol, a body has at most the size that its request claims.
	maxBytesPerKB = 1024

	// maxResponseBytes is the size of the largest response that the protocol allows.
	maxResponseBytes = 240_000
)

// responseSizes estimates the size of the response to a request from those of earlier responses of its class on the
// same connection. An entry takes about 50 bytes; there is at most one for each class of the settings.
type responseSizes map[routing.ClassIndex]classSizes

// classSizes are means over the responses of a class.
type classSizes struct {
	bytes      float64 // size of a response
	bytesPerKB float64 // size of a response, by the size that its request claimed; 0 if none claimed any
}

// expect returns the estimated size of the response to a request in bytes, 0 if nothing is known. What a request claims
// is believed until responses are larger.
func (s responseSizes) expect(r *request.Request) int {
	mean, known := s[r.Class]
	bytesPerKB := mean.bytesPerKB
	if !known {
		bytesPerKB = maxBytesPerKB
	}
	if r.SizeKB > 0 && bytesPerKB > 0 && bytesPerKB <= maxBytesPerKB {
		return int(min(bytesPerKB*r.SizeKB, maxResponseBytes))
	}
	return int(mean.bytes)
}

// record adds the size of the response to a request.
func (s responseSizes) record(r *request.Request, bodyBytes int) {
	mean, known := s[r.Class]
	mean.bytes = weightedMean(mean.bytes, float64(bodyBytes), known)
	if r.SizeKB > 0 {
		mean.bytesPerKB = weightedMean(mean.bytesPerKB, float64(bodyBytes)/r.SizeKB, mean.bytesPerKB > 0)
	}
	s[r.Class] = mean
}

// weightedMean adds a sample to a mean, or returns the sample if there is no mean yet.
func weightedMean(mean, sample float64, known bool) float64 {
	if !known {
		return sample
	}
	return mean + sizeSampleWeight*(sample-mean)
}
