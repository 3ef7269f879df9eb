//go:build crowd

package e2e

import "testing"

// Each test guards against a process that takes more memory or descriptors than its machine has, ends, or serves
// nobody else, because of one kind of crowd at one listener.

func TestCrowdCallersWhole(t *testing.T)       { checkCrowd(t, platformCallers, kindWhole) }
func TestCrowdCallersStopsShort(t *testing.T)  { checkCrowd(t, platformCallers, kindStopsShort) }
func TestCrowdCallersSmallPieces(t *testing.T) { checkCrowd(t, platformCallers, kindSmallPieces) }
func TestCrowdCallersLargeChunks(t *testing.T) { checkCrowd(t, platformCallers, kindLargeChunks) }
func TestCrowdCallersTinyChunks(t *testing.T)  { checkCrowd(t, platformCallers, kindTinyChunks) }
func TestCrowdCallersAnnouncedOverLimit(t *testing.T) {
	checkCrowd(t, platformCallers, kindAnnouncedOverLimit)
}

func TestCrowdCallersChunksOverLimit(t *testing.T) {
	checkCrowd(t, platformCallers, kindChunksOverLimit)
}

func TestCrowdCallersOnlyConnects(t *testing.T) { checkCrowd(t, platformCallers, kindOnlyConnects) }

func TestCrowdCallersEndlessHeader(t *testing.T) { checkCrowd(t, platformCallers, kindEndlessHeader) }

func TestCrowdReadinessWhole(t *testing.T)      { checkCrowd(t, platformReadiness, kindWhole) }
func TestCrowdReadinessStopsShort(t *testing.T) { checkCrowd(t, platformReadiness, kindStopsShort) }

func TestCrowdReadinessSmallPieces(t *testing.T) { checkCrowd(t, platformReadiness, kindSmallPieces) }

func TestCrowdReadinessLargeChunks(t *testing.T) { checkCrowd(t, platformReadiness, kindLargeChunks) }

func TestCrowdReadinessTinyChunks(t *testing.T) { checkCrowd(t, platformReadiness, kindTinyChunks) }

func TestCrowdReadinessAnnouncedOverLimit(t *testing.T) {
	checkCrowd(t, platformReadiness, kindAnnouncedOverLimit)
}

func TestCrowdReadinessChunksOverLimit(t *testing.T) {
	checkCrowd(t, platformReadiness, kindChunksOverLimit)
}

func TestCrowdReadinessOnlyConnects(t *testing.T) { checkCrowd(t, platformReadiness, kindOnlyConnects) }

func TestCrowdReadinessEndlessHeader(t *testing.T) {
	checkCrowd(t, platformReadiness, kindEndlessHeader)
}

func TestCrowdOperatorsWhole(t *testing.T)      { checkCrowd(t, platformOperators, kindWhole) }
func TestCrowdOperatorsStopsShort(t *testing.T) { checkCrowd(t, platformOperators, kindStopsShort) }

func TestCrowdOperatorsSmallPieces(t *testing.T) { checkCrowd(t, platformOperators, kindSmallPieces) }

func TestCrowdOperatorsLargeChunks(t *testing.T) { checkCrowd(t, platformOperators, kindLargeChunks) }

func TestCrowdOperatorsTinyChunks(t *testing.T) { checkCrowd(t, platformOperators, kindTinyChunks) }

func TestCrowdOperatorsAnnouncedOverLimit(t *testing.T) {
	checkCrowd(t, platformOperators, kindAnnouncedOverLimit)
}

func TestCrowdOperatorsChunksOverLimit(t *testing.T) {
	checkCrowd(t, platformOperators, kindChunksOverLimit)
}

func TestCrowdOperatorsOnlyConnects(t *testing.T) { checkCrowd(t, platformOperators, kindOnlyConnects) }

func TestCrowdOperatorsEndlessHeader(t *testing.T) {
	checkCrowd(t, platformOperators, kindEndlessHeader)
}

func TestCrowdHeartbeatsWhole(t *testing.T)      { checkCrowd(t, platformHeartbeats, kindWhole) }
func TestCrowdHeartbeatsStopsShort(t *testing.T) { checkCrowd(t, platformHeartbeats, kindStopsShort) }

func TestCrowdHeartbeatsSmallPieces(t *testing.T) { checkCrowd(t, platformHeartbeats, kindSmallPieces) }

func TestCrowdHeartbeatsLargeChunks(t *testing.T) { checkCrowd(t, platformHeartbeats, kindLargeChunks) }

func TestCrowdHeartbeatsTinyChunks(t *testing.T) { checkCrowd(t, platformHeartbeats, kindTinyChunks) }

func TestCrowdHeartbeatsAnnouncedOverLimit(t *testing.T) {
	checkCrowd(t, platformHeartbeats, kindAnnouncedOverLimit)
}

func TestCrowdHeartbeatsChunksOverLimit(t *testing.T) {
	checkCrowd(t, platformHeartbeats, kindChunksOverLimit)
}

func TestCrowdHeartbeatsOnlyConnects(t *testing.T) {
	checkCrowd(t, platformHeartbeats, kindOnlyConnects)
}

func TestCrowdHeartbeatsEndlessHeader(t *testing.T) {
	checkCrowd(t, platformHeartbeats, kindEndlessHeader)
}

func TestCrowdDirectoryWhole(t *testing.T)      { checkCrowd(t, platformDirectory, kindWhole) }
func TestCrowdDirectoryStopsShort(t *testing.T) { checkCrowd(t, platformDirectory, kindStopsShort) }

func TestCrowdDirectorySmallPieces(t *testing.T) { checkCrowd(t, platformDirectory, kindSmallPieces) }

func TestCrowdDirectoryLargeChunks(t *testing.T) { checkCrowd(t, platformDirectory, kindLargeChunks) }

func TestCrowdDirectoryTinyChunks(t *testing.T) { checkCrowd(t, platformDirectory, kindTinyChunks) }

func TestCrowdDirectoryAnnouncedOverLimit(t *testing.T) {
	checkCrowd(t, platformDirectory, kindAnnouncedOverLimit)
}

func TestCrowdDirectoryChunksOverLimit(t *testing.T) {
	checkCrowd(t, platformDirectory, kindChunksOverLimit)
}

func TestCrowdDirectoryOnlyConnects(t *testing.T) { checkCrowd(t, platformDirectory, kindOnlyConnects) }

func TestCrowdDirectoryEndlessHeader(t *testing.T) {
	checkCrowd(t, platformDirectory, kindEndlessHeader)
}

func TestCrowdNativeCallersWhole(t *testing.T)      { checkCrowd(t, nativeCallers, kindWhole) }
func TestCrowdNativeCallersStopsShort(t *testing.T) { checkCrowd(t, nativeCallers, kindStopsShort) }

func TestCrowdNativeCallersSmallPieces(t *testing.T) { checkCrowd(t, nativeCallers, kindSmallPieces) }

func TestCrowdNativeCallersLargeChunks(t *testing.T) { checkCrowd(t, nativeCallers, kindLargeChunks) }

func TestCrowdNativeCallersTinyChunks(t *testing.T) { checkCrowd(t, nativeCallers, kindTinyChunks) }

func TestCrowdNativeCallersAnnouncedOverLimit(t *testing.T) {
	checkCrowd(t, nativeCallers, kindAnnouncedOverLimit)
}

func TestCrowdNativeCallersChunksOverLimit(t *testing.T) {
	checkCrowd(t, nativeCallers, kindChunksOverLimit)
}

func TestCrowdNativeCallersOnlyConnects(t *testing.T) { checkCrowd(t, nativeCallers, kindOnlyConnects) }

func TestCrowdNativeCallersEndlessHeader(t *testing.T) {
	checkCrowd(t, nativeCallers, kindEndlessHeader)
}

func TestCrowdNativeChatsWhole(t *testing.T)       { checkCrowd(t, nativeChats, kindWhole) }
func TestCrowdNativeChatsStopsShort(t *testing.T)  { checkCrowd(t, nativeChats, kindStopsShort) }
func TestCrowdNativeChatsSmallPieces(t *testing.T) { checkCrowd(t, nativeChats, kindSmallPieces) }
func TestCrowdNativeChatsLargeChunks(t *testing.T) { checkCrowd(t, nativeChats, kindLargeChunks) }
func TestCrowdNativeChatsTinyChunks(t *testing.T)  { checkCrowd(t, nativeChats, kindTinyChunks) }
func TestCrowdNativeChatsAnnouncedOverLimit(t *testing.T) {
	checkCrowd(t, nativeChats, kindAnnouncedOverLimit)
}

func TestCrowdNativeChatsChunksOverLimit(t *testing.T) {
	checkCrowd(t, nativeChats, kindChunksOverLimit)
}

func TestCrowdNativeChatsOnlyConnects(t *testing.T) { checkCrowd(t, nativeChats, kindOnlyConnects) }

func TestCrowdNativeChatsEndlessHeader(t *testing.T) { checkCrowd(t, nativeChats, kindEndlessHeader) }

func TestCrowdNativeOperatorsWhole(t *testing.T)      { checkCrowd(t, nativeOperators, kindWhole) }
func TestCrowdNativeOperatorsStopsShort(t *testing.T) { checkCrowd(t, nativeOperators, kindStopsShort) }

func TestCrowdNativeOperatorsSmallPieces(t *testing.T) {
	checkCrowd(t, nativeOperators, kindSmallPieces)
}

func TestCrowdNativeOperatorsLargeChunks(t *testing.T) {
	checkCrowd(t, nativeOperators, kindLargeChunks)
}

func TestCrowdNativeOperatorsTinyChunks(t *testing.T) { checkCrowd(t, nativeOperators, kindTinyChunks) }

func TestCrowdNativeOperatorsAnnouncedOverLimit(t *testing.T) {
	checkCrowd(t, nativeOperators, kindAnnouncedOverLimit)
}

func TestCrowdNativeOperatorsChunksOverLimit(t *testing.T) {
	checkCrowd(t, nativeOperators, kindChunksOverLimit)
}

func TestCrowdNativeOperatorsOnlyConnects(t *testing.T) {
	checkCrowd(t, nativeOperators, kindOnlyConnects)
}

func TestCrowdNativeOperatorsEndlessHeader(t *testing.T) {
	checkCrowd(t, nativeOperators, kindEndlessHeader)
}

// These guard against bounds that turn away a client inside the limits that is merely slow.
func TestSlowBodyIsServedInCalm(t *testing.T)         { checkSlowBody(t, platformCallers, 16) }
func TestSlowBodyIsServedInCalmNatively(t *testing.T) { checkSlowBody(t, nativeCallers, 16) }
