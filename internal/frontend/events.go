package frontend

import "cairnfront/internal/request"

// RequestCancelled says that the client of a request does not wait any more.
type RequestCancelled struct{ Request *request.Request }
