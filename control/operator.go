package control

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/intake"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/request"
)

// operatorTimeout bounds one operator's request; an election fits into it.
const operatorTimeout = 5 * time.Second

// defaultHistoryLength is the number of changes returned if the request has no n.
const defaultHistoryLength = 20

// operatorAPI serves the operators' HTTP API. Every replica accepts every request and
// forwards changes to the leader.
type operatorAPI struct {
	service *service
	log     *slog.Logger
	keyHash contract.KeyHash // of the operators' bearer key
}

func (o *operatorAPI) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/catalogue", o.getCatalogue)
	mux.HandleFunc("PUT /v1/catalogue", o.putCatalogue)
	mux.HandleFunc("GET /v1/history", o.getHistory)
	mux.HandleFunc("GET /v1/stops", o.getStops)
	mux.HandleFunc("POST /v1/stops", o.planStop)
	mux.HandleFunc("DELETE /v1/stops/{id}", o.cancelStop)
	mux.HandleFunc("GET /v1/replica", o.getReplica)
	mux.HandleFunc("POST /v1/replicas", o.changeReplicas)
	return o.authenticate(mux)
}

func (o *operatorAPI) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := request.BearerKey(r.Header)
		if !contract.HashKey(key).Equal(o.keyHash) {
			request.NewProblem(request.CodeUnauthorized, request.NotRun, "the operators' key is missing or wrong").Write(w)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// currentCatalogue returns the catalogue once this replica has applied every change
// accepted before the request. Otherwise an operator who reads from a replica that
// lags would edit an old catalogue and not find the latest changes. If it returns
// false, it has written the error response.
func (o *operatorAPI) currentCatalogue(w http.ResponseWriter, r *http.Request) (api.CatalogueReply, bool) {
	if err := o.service.readBarrier(r.Context()); err != nil {
		writeNoLeader(w, err)
		return api.CatalogueReply{}, false
	}
	return o.service.machine.Catalogue(0), true
}

func (o *operatorAPI) getCatalogue(w http.ResponseWriter, r *http.Request) {
	c, ok := o.currentCatalogue(w, r)
	if !ok {
		return
	}
	if r.URL.Query().Get("format") != "yaml" {
		writeJSON(w, http.StatusOK, api.CatalogueView{Version: c.Version, Catalogue: c.Catalogue})
		return
	}
	doc, err := contract.Format(c.Catalogue)
	if err != nil {
		request.NewProblem(request.CodeInternal, request.NotRun, "%v", err).Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/yaml")
	w.Header().Set(api.HeaderVersion, strconv.FormatUint(c.Version, 10))
	_, _ = w.Write(doc) // fails only if the operator's connection is gone
}

func (o *operatorAPI) getHistory(w http.ResponseWriter, r *http.Request) {
	if _, ok := o.currentCatalogue(w, r); !ok {
		return
	}
	n := defaultHistoryLength
	if text := r.URL.Query().Get("n"); text != "" {
		var err error
		if n, err = strconv.Atoi(text); err != nil || n < 1 {
			request.NewProblem(request.CodeBadRequest, request.NotRun, "n=%q is not a count", text).Write(w)
			return
		}
	}
	writeJSON(w, http.StatusOK, o.service.machine.History(n))
}

func (o *operatorAPI) getStops(w http.ResponseWriter, r *http.Request) {
	if c, ok := o.currentCatalogue(w, r); ok {
		writeJSON(w, http.StatusOK, c.Stops)
	}
}

func (o *operatorAPI) getReplica(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, o.service.replicaStatus())
}

// decodeFactor is the memory that decoding and committing a document takes, in sizes of the document.
const decodeFactor = 4

func (o *operatorAPI) putCatalogue(w http.ResponseWriter, r *http.Request) {
	doc, err := intake.ReadAll(r, contract.MaxDocumentBytes)
	if err == nil {
		err = intake.ClaimWork(r.Context(), decodeFactor*int64(len(doc)))
	}
	if err != nil {
		request.BodyProblem(err).Write(w)
		return
	}
	base, err := strconv.ParseUint(r.Header.Get(api.HeaderBase), 10, 64)
	if err != nil {
		request.NewProblem(request.CodeBadRequest, request.NotRun, "header %s names no version", api.HeaderBase).Write(w)
		return
	}
	c, err := contract.Parse(doc)
	if err != nil {
		request.NewProblem(request.CodeRefusedCatalogue, request.NotRun, "%v", err).Write(w)
		return
	}
	o.commitChange(w, r, contract.Change{Kind: contract.ChangeApply, Base: base, Catalogue: &c})
}

// readDocument decodes the JSON body into v, a pointer. If it returns false, it has
// written the error response.
func readDocument(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, contract.MaxDocumentBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		request.BodyProblem(err).Write(w)
		return false
	}
	return true
}

func (o *operatorAPI) planStop(w http.ResponseWriter, r *http.Request) {
	var s contract.Stop
	if !readDocument(w, r, &s) {
		return
	}
	o.commitChange(w, r, contract.Change{Kind: contract.ChangeStopPlan, Stop: &s})
}

func (o *operatorAPI) cancelStop(w http.ResponseWriter, r *http.Request) {
	s := contract.Stop{ID: r.PathValue("id")}
	o.commitChange(w, r, contract.Change{Kind: contract.ChangeStopCancel, Stop: &s})
}

// commitChange commits one change and writes its result as the response.
func (o *operatorAPI) commitChange(w http.ResponseWriter, r *http.Request, c contract.Change) {
	c.ID, c.By = r.Header.Get(api.HeaderChangeID), r.Header.Get(api.HeaderOperator)
	if c.ID == "" {
		request.NewProblem(request.CodeBadRequest, request.NotRun, "header %s is missing", api.HeaderChangeID).Write(w)
		return
	}
	result, err := o.proposeChange(r.Context(), c)
	if err != nil {
		proposeProblem(err).Write(w)
		return
	}
	if result.Code != contract.CodeAccepted {
		event.Log(r.Context(), o.log, slog.LevelWarn, event.CatalogueRefused, slog.String("changeId", c.ID),
			slog.String("by", c.By), slog.String("code", string(result.Code)), slog.String("reason", result.Reason))
	}
	writeJSON(w, httpStatus(result.Code), result)
}

func (o *operatorAPI) proposeChange(ctx context.Context, c contract.Change) (contract.Result, error) {
	data, err := msgpack.Marshal(&c)
	if err != nil {
		return contract.Result{}, trace.Wrap(err, "step=encode change")
	}
	for {
		reply, err := o.service.propose(ctx, link.PeerInfo{}, api.ProposeRequest{Kind: api.KindCatalogue, Data: data})
		if err == nil {
			var out contract.Result
			return out, trace.Wrap(msgpack.Unmarshal(reply.Result, &out), "step=decode result")
		}
		select { // a change has an id and is idempotent, so it may be proposed again
		case <-ctx.Done():
			return contract.Result{}, err
		case <-time.After(operatorRetryInterval):
		}
	}
}

// changeReplicas changes the replica set and responds with the leader's status. A
// change is idempotent, so it is retried if its outcome is unknown.
func (o *operatorAPI) changeReplicas(w http.ResponseWriter, r *http.Request) {
	var change api.ReplicaChange
	if !readDocument(w, r, &change) {
		return
	}
	for {
		status, err := o.service.changeReplicas(r.Context(), link.PeerInfo{}, change)
		if err == nil {
			writeJSON(w, http.StatusOK, status)
			return
		}
		if p := changeProblem(err); p != nil {
			p.Write(w)
			return
		}
		select {
		case <-r.Context().Done():
			proposeProblem(err).Write(w)
			return
		case <-time.After(operatorRetryInterval):
		}
	}
}

// changeProblem returns the response to a refused change of the replica set, or nil
// if the change is to be retried.
func changeProblem(err error) *request.Problem {
	switch errorCode(err) {
	case api.CodeInvalid:
		return request.NewProblem(request.CodeReplicaRefused, request.NotRun, "%v", err)
	case api.CodeNotCaughtUp:
		return request.NewProblem(request.CodeReplicaBehind, request.NotRun, "%v", err).After(time.Second)
	default:
		return nil
	}
}

// errorCode returns the code of an error of this or another replica, or "".
func errorCode(err error) string {
	var remote *link.RemoteError
	var coded *codedError
	switch {
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &remote):
		return remote.Code
	default:
		return ""
	}
}

// operatorRetryInterval is the wait between two attempts to commit a change.
const operatorRetryInterval = 100 * time.Millisecond

func httpStatus(c contract.Code) int {
	switch c {
	case contract.CodeAccepted:
		return http.StatusOK
	case contract.CodeConflict, contract.CodeReused:
		return http.StatusConflict
	case contract.CodeNotFound:
		return http.StatusNotFound
	default:
		return http.StatusUnprocessableEntity
	}
}

// proposeProblem returns the response to a change that could not be committed. Its
// outcome is Unknown if the change may be committed nevertheless.
func proposeProblem(err error) *request.Problem {
	var remote *link.RemoteError
	var coded *codedError
	unknown := errors.Is(err, link.ErrOutcomeUnknown) ||
		errors.As(err, &remote) && remote.Code == api.CodeOutcomeUnknown ||
		errors.As(err, &coded) && coded.code == api.CodeOutcomeUnknown
	outcome := request.NotRun
	if unknown {
		outcome = request.Unknown
	}
	return request.NewProblem(request.CodeNotLeader, outcome, "%v", err).After(time.Second)
}

func writeNoLeader(w http.ResponseWriter, err error) {
	request.NewProblem(request.CodeNotLeader, request.NotRun, "%v", err).After(time.Second).Write(w)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the operator's connection is gone
}
