// Package policytest is a discrete-event simulation that compares the decisions
// under policy with simple baselines. It runs a pattern of load in virtual time
// and reports latency, goodput and fairness. Only tests use it.
//
// In the model, callers send requests to entries. Each entry admits, queues and
// routes them with its own instances of the policies. A backend server runs one
// request per slot, prefills the prompt tokens that its prefix cache does not
// hold, and generates tokens more slowly the more slots are taken. An entry
// learns of the other entries' requests only from delayed load reports. The
// model leaves out network latency, the time a decision takes and, unless
// PolicySet.CallersRetry is set, callers that retry after a refusal.
//
// Arrivals depend only on the scenario and the seed: every PolicySet gets the
// same requests, and a run is reproducible.
package policytest
