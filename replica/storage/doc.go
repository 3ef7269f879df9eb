// Package storage stores a replica's state in a data folder:
//
//	LOCK                      locked by the process that uses the folder
//	log-<number>.seg          segments of the log, in ascending order
//	snapshot-<index>.snap     snapshots of the state machine; the highest index is current
//
// A segment is a sequence of frames, a snapshot is one frame. A frame consists of
// the payload's length (4 bytes), the frame number (8 bytes), the CRC-32C of length,
// number and payload (4 bytes), all little-endian, and the payload in msgpack. Each
// Save writes and syncs one frame before it returns, so after a crash at most the
// last frame of the last segment is incomplete. Open removes such a frame, which was
// never acknowledged, by rewriting the valid frames. An invalid frame followed by a
// valid one means that the disk has lost acknowledged data: Open fails, and the
// replica must be replaced.
//
// After a failed write or sync every call returns ErrFailed and the process must
// stop. The kernel may discard the pages that it could not write and report the
// failure only once, so a second sync may succeed although the data is not on disk.
// After a restart, Open reads the data again.
package storage
