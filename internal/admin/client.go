package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"
)

// Call sends one request to the admin socket of a running program and returns the data of its response. It returns a
// *ResponseError if the program refused or failed the request. The context and requestTimeout bound the connecting,
// twice requestTimeout bounds the exchange.
func Call(
	ctx context.Context, path string, name RequestName, args map[string]string,
) (json.RawMessage, error) {
	conn, err := (&net.Dialer{Timeout: requestTimeout}).DialContext(ctx, "unix", path)
	if err != nil {
		return nil, fmt.Errorf("connect to admin socket %s: %w", path, err)
	}
	defer func() { _ = conn.Close() }() // the response was read, or the error is known
	return exchange(conn, path, name, args)
}

// exchange sends a request and reads its response. A server that refuses a client responds and closes without reading,
// maybe before the request is written. The response is read even if writing fails, as it has the reason.
func exchange(conn net.Conn, path string, name RequestName, args map[string]string) (json.RawMessage, error) {
	// The server's timeout and as much for the network. Setting it fails only on a closed connection, where reading
	// fails too.
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
