// Package directory holds what a process knows of the backend servers and of
// the entries: the newest announcement of each, how long ago it was heard, and
// what has changed since a given point.
//
// Announcements arrive at any control replica, late, doubled and out of order;
// replicas and entries pass them on. So a record is never replaced by an older
// one, and what has begun to leave never comes back in the same incarnation,
// whatever the order of arrival.
package directory
