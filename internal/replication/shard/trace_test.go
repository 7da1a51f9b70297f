package shard

import (
	crand "crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"
)

// goldenTrace is the SHA-256 of the trace that an earlier version wrote.
const goldenTrace = "7b277ae6f3debce7ff48588b3461bd7a0da367582afc393341ea1b9ef4273e1e"

// TestTraceOfSeededScript injects faults drawn from a fixed seed, and compares the hash of
// everything that the replicas wrote, sent and answered.
func TestTraceOfSeededScript(t *testing.T) {
	before := crand.Reader
	t.Cleanup(func() { crand.Reader = before })
	crand.Reader = seededReader{rand.New(rand.NewPCG(3, 5))}
	hash := sha256.New()
	bytesOf := func(m proto.Message) []byte {
		text, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		assert.NoError(t, err)
		return text
	}
	steps, responses := 0, 0
	c := newCluster(t, 5, 3, defect{})
	c.trace = func(id uint64, ready Ready, answers []Response) {
		steps++
		responses += len(answers)
		_, _ = fmt.Fprintf(hash, "%d: replica %d shard %d sync %v\n", c.step, id, ready.Shard, ready.MustSync)
		if ready.HardState != nil {
			_, _ = fmt.Fprintf(hash, "hard state %x\n", bytesOf(ready.HardState))
		}
		if ready.Snapshot != nil {
			_, _ = fmt.Fprintf(hash, "snapshot %x\n", bytesOf(ready.Snapshot))
		}
		for _, entry := range ready.Entries {
			_, _ = fmt.Fprintf(hash, "entry %x\n", bytesOf(entry))
		}
		for _, message := range ready.Messages {
			_, _ = fmt.Fprintf(hash, "message %x\n", bytesOf(message))
		}
		for _, response := range answers {
			_, _ = fmt.Fprintf(hash, "response %s %d %v %s %v\n",
				response.Requester, response.RequestNumber, response.Result.Granted,
				response.Result.Reservation.Group, response.Result.RemainingSeconds)
		}
	}
	c.run(200)
	for range 12 {
		c.injectFault()
		c.run(80)
	}
	t.Logf("%d steps, %d responses", steps, responses)
	assert.Greater(t, steps, 1000)
	assert.Greater(t, responses, 100)
	assert.Equal(t, goldenTrace, hex.EncodeToString(hash.Sum(nil)))
}
