// Package directory stores a process's records of the backend servers and of the entries:
// the newest announcement of each, the time of its last heartbeat, and which records have
// changed since a given sequence number.
//
// Announcements arrive at any control replica, delayed, duplicated and out of order, and
// replicas and entries forward them. A record is therefore never replaced by an older one,
// and a server or entry that has started to leave never returns to serving within the same
// incarnation, whatever the order of arrival.
package directory
