// Package fake provides in-process stand-ins for the external systems that the
// instances talk to, for tests, the dev command and benchmarks on one machine.
// They start no processes and need no network beyond their listener.
//
// Engine is a model engine. It batches continuously over a fixed number of
// slots, has a bounded prefix cache, honours priorities, resumes and cancels
// answers, exports and imports KV cache, executes fenced orders, and announces
// itself with a delayed load and delayed cache events. Its answers are a pure
// function of the prompt (Answer), so that tests can check their content.
//
// Plain is a plain HTTP service. It answers any method and path with a
// description of the request, and counts the executions of each call, so that a
// test detects a call that ran twice or one that ran although it was refused.
//
// Cloud is a cloud API: prices, starts by client token that a zone may refuse,
// stops, and reclaim notices by long poll, which a test triggers for a whole
// zone (Wave or POST /fake/wave). Its instances are list entries only; no
// process or machine is started.
//
// Store is a weight store: it has every model, limits the bandwidth of each
// reader, and answers 429 with Retry-After above its rate limit.
//
// Tests inject faults in code (SetFaults) or by POST /fake/faults, and read
// counters by Stats or GET /fake/stats. The /fake/ paths answer also while the
// stand-in is frozen. A frozen stand-in does not detect that a client has
// disconnected: if only its Handler is used, thaw it before closing the server
// that runs the handler.
package fake
