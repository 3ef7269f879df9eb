// Package explain analyses the logs of entries. It counts how many requests were answered
// within their objective, and classifies the others by the reason why they were not; in
// total, and by second, route, workspace, backend server and size of the prompt.
//
// It reads line by line and holds one record per pending request, at most maxPending, so
// that its memory does not grow with the length of the logs. It skips and counts lines
// without JSON or without an event number, because a log may be damaged or contain other
// output.
package explain
