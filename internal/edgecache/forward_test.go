package edgecache

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"

	"cairnfront/internal/discovery"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Times that the receipts of startReceiptOrigin have, in Unix milliseconds.
const receiptOriginMillis = 1_764_576_000_123

// startReceiptOrigin starts a stub of an origin that answers each request with a receipt for it, unless the client's
// copy is named, which then is current.
func startReceiptOrigin(t *testing.T, discoveryService *discoveryStub) {
	t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go answerWithReceipts(conn)
		}
	}()
	endpoint := routing.Endpoint{ID: "s-000000ff", Kind: 2, Weight: 8}
	discoveryService.publish(discovery.Event{
		Kind:      discovery.Update,
		Endpoints: []discovery.Endpoint{{Address: ln.Addr().String(), Endpoint: endpoint}},
	})
}

func answerWithReceipts(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if words[0] != "do" {
			continue
		}
		length, _ := strconv.Atoi(words[3])
		body := make([]byte, length+len("\r\n"))
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		word, receipt := "served", "paid: "+string(body[:length])
		if strings.Contains(words[2], "got=r1") {
			word, receipt = "still_good", ""
		}
		_, _ = fmt.Fprintf(conn, "%s %s digest=r1,dated=%d,bucket=9 %d\r\n%s\r\n",
			words[1], word, receiptOriginMillis, len(receipt), receipt)
	}
}

// Guards against a response 'served' without the bytes that the origin gave: the response to a request of a class that
// is not cached must be forwarded completely, with its tag, its time and its purge group.
func TestResponseThatIsNotCachedIsForwardedWhole(t *testing.T) {
	discoveryService := startDiscoveryStub(t)
	startReceiptOrigin(t, discoveryService)
	client := startServer(t, discoveryService, nil).dial(t)
	order := func(number int, moreFields, body string) (result string, fields map[string]string, receipt string) {
		id := fmt.Sprintf("%016x", number)
		_, err := fmt.Fprintf(client, "do %s profile=order,thing=%s,nth=1,max=3000,parent=s-000000ff%s %d\r\n%s\r\n",
			id, id, moreFields, len(body), body)
		require.NoError(t, err)
		responseID, result, fields, receipt := client.readResponse(t)
		require.Equal(t, id, responseID)
		return result, fields, receipt
	}
	number := 0
	eventually(t, func() bool { // until the origin is known
		number++
		result, _, _ := order(number, "", "")
		return result == "served"
	})
	want := map[string]string{
		"digest": "r1", "dated": strconv.Itoa(receiptOriginMillis), "bucket": "9", "remark": "f",
	}
	for _, size := range []int{0, 1, 2000, 48_000} {
		number++
		body := strings.Repeat("x", size)
		result, fields, receipt := order(number, ",replay=k"+strconv.Itoa(number), body)
		assert.Equal(t, "served", result)
		assert.Equal(t, "paid: "+body, receipt)
		assert.Equal(t, want, fields)
	}
	result, fields, receipt := order(number+1, ",got=r1", "")
	assert.Equal(t, "still_good", result, "the origin names the client's copy")
	assert.Empty(t, receipt)
	assert.Equal(t, want, fields)
}
