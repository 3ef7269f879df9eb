package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/response"
)

// maxAnswerBytes bounds the size of the answer to an order.
const maxAnswerBytes = 64 << 10

// encodeOrder returns the complete HTTP request of an order, which is written in
// one piece to its own connection. net/http could buffer the request, delay the
// write or retry it on another connection after the lease check.
func encodeOrder(address string, order native.Order) ([]byte, error) {
	notSent := func(err error) ([]byte, error) {
		return nil, &native.CallError{Step: native.StepEncode, Peer: address, Delivery: native.NotSent, Err: err}
	}
	body, err := json.Marshal(order)
	if err != nil {
		return notSent(err)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+native.PathOrders, bytes.NewReader(body))
	if err != nil {
		return notSent(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return notSent(err)
	}
	return out.Bytes(), nil
}

// dial connects over TCP.
func dial(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// limitLifetime aborts the connection at end, which is remaining from now, together
// with unsent data. Otherwise a lingering close or the kernel's retransmissions
// could deliver an order to a server that was unreachable until after a new
// leader's order, even while this process is suspended.
func limitLifetime(conn net.Conn, end time.Time, remaining time.Duration) {
	_ = conn.SetDeadline(end) // fails only for a connection without deadlines, which dial does not return
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetLinger(0) // fails only on a closed connection
	limitUnacknowledged(tcp, remaining)
}

// exchange writes the request and reads the answer.
func exchange(conn net.Conn, address string, message []byte) error {
	if n, err := conn.Write(message); err != nil {
		delivery := native.MaybeRan
		if n == 0 {
			delivery = native.NotSent
		}
		return &native.CallError{Step: native.StepForward, Peer: address, Delivery: delivery, Err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, maxAnswerBytes)), nil)
	if err == nil {
		err = response.Check(resp)
	}
	if err != nil {
		return &native.CallError{Step: native.StepForward, Peer: address, Delivery: native.MaybeRan, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	return statusError(address, resp)
}

// statusError returns the error for an error status. A 4xx of the server means that
// it has not followed the order; a 5xx may come from an intermediary.
func statusError(address string, resp *http.Response) error {
	call := &native.CallError{Step: native.StepStatus, Peer: address, Delivery: native.MaybeRan, Status: resp.StatusCode}
	if resp.StatusCode < http.StatusInternalServerError || resp.Header.Get(native.HeaderNotRun) != "" {
		call.Delivery = native.Refused
	}
	var problem native.Problem
	if json.NewDecoder(resp.Body).Decode(&problem) == nil { // the body is optional
		call.Code, call.Message = problem.Code, problem.Detail
	}
	return call
}
