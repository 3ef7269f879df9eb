// Package policytest plays patterns of load against the decisions under policy
// in virtual time and reports what callers get. Tests use it; the product does
// not.
//
// The model: callers send requests to entries; each entry admits, queues and
// routes with its own copies of the policies; backend servers run requests side
// by side in slots, prefill what their prefix cache does not hold and generate
// tokens at a speed that falls as slots fill. Entries see each other's work only
// through load reports that are late. It leaves out the network, the time that
// decisions take and, unless a Set asks for them, callers that come back after a
// refusal.
//
// Arrivals depend on the scenario and the seed only, so that every set of
// policies meets the same requests, and a run repeats exactly.
package policytest
