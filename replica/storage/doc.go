// Package storage keeps a replica's state in one data folder.
//
//	LOCK                      held by the process that uses the folder
//	log-<number>.seg          segments of the log, ascending
//	snapshot-<index>.snap     the state machine's state; the highest one counts
//
// Both kinds of file consist of frames: length (4 bytes), frame number (8 bytes)
// and CRC-32C (4 bytes) of number and payload, all little-endian, then the
// payload in msgpack. One Save is one frame, written and synced before Save
// returns; so at most the last frame of the last segment can be incomplete after
// a crash. Such a tail was never acknowledged and is cut off when the folder is
// opened, by writing the good frames anew. A bad frame with a good one after it means that the disk has lost data
// that was acknowledged: Open fails and the replica must be replaced.
//
// After any failed write or sync every call returns ErrFailed and the process
// must stop. The kernel may drop the pages that it could not write and report
// the failure only once; a second sync that succeeds proves nothing, and going
// on would acknowledge entries that no disk holds. A restart reads what is there.
package storage
