// Package event defines the numbered log events of the system, and writes, samples and
// searches log lines. The number of an event never changes and is never reused, so that
// operators can look it up in docs/EVENTS.md.
package event

import (
	"context"
	"log/slog"
	"strconv"
)

// Kind is the number of an event.
type Kind uint16

// The events. 1xxx: start, stop and settings of a process; 2xxx: requests; 3xxx: backend
// servers, membership and limits; 4xxx: catalogue and planned stops; 5xxx: control replicas
// and cloud.
const (
	ProcessStarted        Kind = 1001
	ProcessStopping       Kind = 1002
	ProcessStopped        Kind = 1003
	SettingsRefused       Kind = 1004
	SettingsRead          Kind = 1006
	LinesDropped          Kind = 1007
	LinesSampled          Kind = 1008
	ListenerOpen          Kind = 1005
	DrainBegun            Kind = 1010
	DrainDone             Kind = 1011
	RequestEnded          Kind = 2001
	RequestRefused        Kind = 2002
	RouteChosen           Kind = 2101
	RouteWaits            Kind = 2102
	AttemptFailed         Kind = 2103
	StreamResumed         Kind = 2104
	CallerLeft            Kind = 2105
	CallerReturned        Kind = 2106
	EvacuationPlanned     Kind = 2107
	CarryFailed           Kind = 2108
	RequestTaken          Kind = 2110
	RequestHandedOff      Kind = 2111
	HandOffFailed         Kind = 2112
	LedgerAnswered        Kind = 2201
	LedgerFailed          Kind = 2202
	EntryPicked           Kind = 2120
	OriginFound           Kind = 2113
	ClientsTurnedAway     Kind = 2401
	SuspectHeld           Kind = 2301
	Quarantined           Kind = 2302
	BrokeOffOnGoneServer  Kind = 2303
	SuspectTrial          Kind = 2304
	RecordsNotCommitted   Kind = 2305
	ServerAnnounced       Kind = 3001
	ServerLeaving         Kind = 3002
	ServerGone            Kind = 3003
	ServerRefused         Kind = 3004
	ServersRecalled       Kind = 3007
	ServersNotKept        Kind = 3008
	ServerPaused          Kind = 3009
	ServerLeavingByAnswer Kind = 3010
	ServerLimited         Kind = 3011
	ServersBrittle        Kind = 3012
	LeaveAcknowledged     Kind = 3013
	LeaveNotAcknowledged  Kind = 3014
	ShortageBegan         Kind = 3015
	ShortageEnded         Kind = 3016
	ServerSlow            Kind = 3005
	CacheGap              Kind = 3006
	MemberChanged         Kind = 3101
	CatalogueChanged      Kind = 4001
	CatalogueRefused      Kind = 4002
	CatalogueTaken        Kind = 4003
	CataloguePartRefused  Kind = 4006
	FreshnessLost         Kind = 4004
	FreshnessBack         Kind = 4005
	StopBegun             Kind = 4101
	LeaderChanged         Kind = 5001
	ReplicaFailed         Kind = 5002
	ReplicaLost           Kind = 5003
	ReplicaRegained       Kind = 5004
	ReplicaStarted        Kind = 5005
	ReplicaSetChanged     Kind = 5006
	DatagramNotSent       Kind = 3102
	LimitUsed             Kind = 3103
	LimitOwned            Kind = 3104
	ShareChanged          Kind = 3105
	RepeatsUsed           Kind = 3106
	LimitsDivided         Kind = 3109
	PathLost              Kind = 3107
	PathRestored          Kind = 3108
	RevisionTaken         Kind = 5010
	RevisionRefused       Kind = 5011
	CloudCalled           Kind = 5301
	CloudCallFailed       Kind = 5302
	RolloutOrdered        Kind = 5401
	RolloutRefused        Kind = 5402
	RolloutPhaseChanged   Kind = 5403
	OrderGiven            Kind = 5101
	OrderRefused          Kind = 5102
	PlacementChosen       Kind = 5201
	StartRefused          Kind = 5202
)

// Description describes one event.
type Description struct {
	Kind Kind
	Name string // the log line's message
}

// catalogue lists every event. docs/EVENTS.md has one row for each of them.
var catalogue = [...]Description{
	{ProcessStarted, "process started"},
	{ProcessStopping, "process stopping"},
	{ProcessStopped, "process stopped"},
	{SettingsRefused, "settings refused"},
	{ListenerOpen, "listener open"},
	{SettingsRead, "settings reloaded"},
	{LinesDropped, "log lines dropped"},
	{LinesSampled, "lines of ordinary requests left out"},
	{DrainBegun, "drain started"},
	{DrainDone, "drain done"},
	{RequestEnded, "request ended"},
	{RequestRefused, "request refused"},
	{RouteChosen, "route chosen"},
	{RouteWaits, "no route yet, request waits"},
	{AttemptFailed, "attempt failed"},
	{OriginFound, "origin of a stream found"},
	{StreamResumed, "answer resumed on another backend server"},
	{CallerLeft, "caller left"},
	{CallerReturned, "caller came back for its answer"},
	{EvacuationPlanned, "evacuation of a backend server planned"},
	{CarryFailed, "KV cache transfer failed"},
	{RequestTaken, "request taken over from another entry"},
	{RequestHandedOff, "request handed over to another entry"},
	{HandOffFailed, "hand-over failed"},
	{EntryPicked, "entries named to a caller"},
	{LedgerAnswered, "ledger answered"},
	{LedgerFailed, "ledger failed"},
	{ClientsTurnedAway, "clients turned away for lack of room"},
	{SuspectHeld, "suspect request held back from shared servers"},
	{Quarantined, "request quarantined"},
	{RecordsNotCommitted, "quarantine records not committed"},
	{BrokeOffOnGoneServer, "request broke off on a server that is gone"},
	{SuspectTrial, "trial of a suspect request"},
	{ServerAnnounced, "backend server announced"},
	{ServerLeaving, "backend server leaving"},
	{ServerGone, "backend server gone"},
	{ServerRefused, "announcement refused"},
	{ServersRecalled, "backend servers restored"},
	{ServersNotKept, "backend servers not saved"},
	{ServerPaused, "backend server asks for a pause"},
	{ServerLeavingByAnswer, "backend server says in an answer that it leaves"},
	{ServerLimited, "backend server names a limit"},
	{ServersBrittle, "backend servers of a service are brittle"},
	{LeaveAcknowledged, "leave of a backend server acknowledged"},
	{LeaveNotAcknowledged, "leave of a backend server not acknowledged"},
	{ShortageBegan, "servers of a service have too little room"},
	{ShortageEnded, "servers of a service have room again"},
	{ServerSlow, "backend server slow"},
	{CacheGap, "cache events have a gap"},
	{MemberChanged, "instance changed"},
	{DatagramNotSent, "datagrams to other entries fail"},
	{LimitUsed, "usage of a refused workspace"},
	{LimitOwned, "owner of a limit's pools"},
	{ShareChanged, "share of the limits"},
	{RepeatsUsed, "repeats of a service"},
	{LimitsDivided, "limits divided"},
	{PathLost, "own path to backend servers lost"},
	{PathRestored, "own path to backend servers restored"},
	{CatalogueChanged, "catalogue changed"},
	{CatalogueRefused, "catalogue change refused"},
	{CatalogueTaken, "catalogue version in force here"},
	{CataloguePartRefused, "part of a catalogue refused"},
	{FreshnessLost, "catalogue may be out of date, new requests refused"},
	{FreshnessBack, "catalogue confirmed again"},
	{StopBegun, "planned stop in force"},
	{LeaderChanged, "leader changed"},
	{ReplicaFailed, "replica failed"},
	{ReplicaLost, "control replica unreachable"},
	{ReplicaRegained, "control replica reachable again"},
	{ReplicaStarted, "replica started"},
	{ReplicaSetChanged, "replica set changed"},
	{RevisionTaken, "revision in force"},
	{RevisionRefused, "revision refused"},
	{OrderGiven, "order given"},
	{OrderRefused, "order refused"},
	{PlacementChosen, "placement chosen"},
	{StartRefused, "start of an instance refused"},
	{CloudCalled, "cloud called"},
	{CloudCallFailed, "cloud call failed"},
	{RolloutOrdered, "rollout ordered"},
	{RolloutRefused, "rollout refused"},
	{RolloutPhaseChanged, "phase of a rollout changed"},
}

// All returns the descriptions of all events. The caller must not modify the slice.
func All() []Description { return catalogue[:] }

// String returns the message of the event's log lines.
func (k Kind) String() string {
	for _, d := range catalogue {
		if d.Kind == k {
			return d.Name
		}
	}
	return "event " + strconv.Itoa(int(k))
}

// Log writes one log line of event k, with its number as attribute "event".
func Log(ctx context.Context, l *slog.Logger, level slog.Level, k Kind, attrs ...slog.Attr) {
	if !l.Enabled(ctx, level) {
		return
	}
	l.LogAttrs(ctx, level, k.String(), append([]slog.Attr{slog.Int("event", int(k))}, attrs...)...)
}
