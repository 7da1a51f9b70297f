package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"
)

// Call sends one request to a running program and returns the data of its response. The response's error is returned
// as it came.
func Call(path, command string, args map[string]string) (json.RawMessage, error) {
	conn, err := net.DialTimeout("unix", path, requestTimeout)
	if err != nil {
		return nil, fmt.Errorf("asking at %s: %w", path, err)
	}
	defer func() { _ = conn.Close() }()
	return exchange(conn, path, command, args)
}

// exchange sends a request and reads its response. A server that refuses a client responds and closes without reading,
// maybe before the request is written. So the response is read even if writing fails.
func exchange(conn net.Conn, path, command string, args map[string]string) (json.RawMessage, error) {
	_ = conn.SetDeadline(time.Now().Add(2 * requestTimeout)) // the server's timeout and the way there and back
	text, err := json.Marshal(Request{Version: Version, Command: command, Args: args})
	if err != nil {
		return nil, err
	}
	_, writeErr := conn.Write(append(text, '\n'))
	var response Response
	if err := json.NewDecoder(conn).Decode(&response); err != nil {
		if writeErr != nil {
			return nil, fmt.Errorf("asking at %s: %w", path, writeErr)
		}
		return nil, fmt.Errorf("the answer from %s: %w", path, err)
	}
	if !response.OK {
		return nil, errors.New(response.Error)
	}
	return response.Data, nil
}
