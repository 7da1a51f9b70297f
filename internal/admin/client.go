package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"
)

// Call sends one request to the admin socket of a running program and returns the data of the response. It returns a
// *ResponseError if the program refused the request or its handler failed. Connecting is limited by the context and by
// requestTimeout; sending the request and reading the response is limited to twice requestTimeout.
func Call(
	ctx context.Context, path string, name RequestName, args map[string]string,
) (json.RawMessage, error) {
	conn, err := (&net.Dialer{Timeout: requestTimeout}).DialContext(ctx, "unix", path)
	if err != nil {
		return nil, fmt.Errorf("connect to admin socket %s: %w", path, err)
	}
	defer func() { _ = conn.Close() }() // an error of Close is irrelevant after the exchange
	return exchange(conn, path, name, args)
}

// exchange sends a request and reads its response. A server that refuses a client responds and closes the connection
// without reading, possibly before the request is written. Therefore the response, which contains the reason, is read
// even if writing fails.
func exchange(conn net.Conn, path string, name RequestName, args map[string]string) (json.RawMessage, error) {
	// The server's timeout, plus the same time for the network. SetDeadline fails only on a closed connection, on which
	// reading fails as well.
	_ = conn.SetDeadline(time.Now().Add(2 * requestTimeout))
	text, err := json.Marshal(Request{Version: Version, Name: name, Args: args})
	if err != nil {
		return nil, err
	}
	_, writeErr := conn.Write(append(text, '\n'))
	var response Response
	if err := json.NewDecoder(conn).Decode(&response); err != nil {
		if writeErr != nil {
			return nil, fmt.Errorf("send request to admin socket %s: %w", path, writeErr)
		}
		return nil, fmt.Errorf("read response of admin socket %s: %w", path, err)
	}
	if !response.OK {
		return nil, &ResponseError{Message: response.Error}
	}
	return response.Data, nil
}
