// Package fake holds small stand-ins for what the system meets outside itself,
// for tests, for the dev command and for measurements on one machine. None
// of them starts a process, and none needs a network beyond its listener.
//
// Engine is a model engine. It batches continuously over a fixed number of
// slots, keeps a bounded prefix cache, honours priorities, resumes and cancels
// answers, exports and imports KV cache, follows fenced orders, and announces
// itself with a lagging load and late cache events. Its answers are a pure
// function of the prompt (Answer), so that tests judge them by content.
//
// Plain is a plain service. It answers any method and path with what it
// received, and counts the effect of each call, so that a test sees a call that
// ran twice or one that ran although it was refused.
//
// Cloud is a cloud API: prices, starts by client token that a zone may refuse,
// stops, and reclaim notices by long poll, which a test sends out for a zone at
// a time (Wave or POST /fake/wave). Its instances are entries in a list only.
//
// Store is a weight store: it has every model, paces each reader, and answers
// 429 with Retry-After beyond its rate.
//
// Each has faults that a test sets in code (SetFaults) or by POST
// /fake/faults, and shows what it did by Stats or GET /fake/stats. The /fake/
// paths answer also while the stand-in is frozen. A frozen one does not notice
// that a client has gone; where only its Handler is used, thaw it before the
// server around it is closed.
package fake
