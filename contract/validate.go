package contract

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Bounds of the values in a catalogue. They catch typing errors.
const (
	MaxWeight           = 1000
	MaxConcurrency      = 1_000_000
	MaxRate             = 1e9       // requests or tokens per second
	MaxBodyBytes        = 256 << 20 // of a request body
	MaxLatencyTarget    = 10 * time.Minute
	MaxNameLength       = 63
	MaxKeysPerWorkspace = 16
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// Violation is an invalid value in a catalogue. Path is a YAML path such as
// $.workspaces[1].limits.concurrency; Line is 0 if the line is unknown.
type Violation struct {
	Path   string `json:"path"`
	Line   int    `json:"line,omitempty"`
	Reason string `json:"reason"`
}

// String formats v like "line 7: $.workspaces[1].name: reason".
func (v Violation) String() string {
	if v.Line == 0 {
		return v.Path + ": " + v.Reason
	}
	return fmt.Sprintf("line %d: %s: %s", v.Line, v.Path, v.Reason)
}

// InvalidError lists all violations in a catalogue. Those returned by Parse are
// sorted by line.
type InvalidError struct {
	Violations []Violation
}

// Error returns all violations, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Violations))
	for i, v := range e.Violations {
		lines[i] = v.String()
	}
	return "catalogue refused:\n  " + strings.Join(lines, "\n  ")
}

// Validate checks every value and reference in c. It returns nil or an
// *InvalidError that lists all violations.
func (c *Catalogue) Validate() error {
	v := validator{workspaceNames: map[string]bool{}, serviceNames: map[string]bool{}, workspaceByKey: map[KeyHash]string{}}
	for i := range c.Workspaces {
		v.checkWorkspace(fmt.Sprintf("$.workspaces[%d]", i), &c.Workspaces[i])
	}
	for i := range c.Services {
		v.checkService(fmt.Sprintf("$.services[%d]", i), &c.Services[i])
	}
	if len(v.violations) == 0 {
		return nil
	}
	return &InvalidError{Violations: v.violations}
}

type validator struct {
	violations     []Violation
	workspaceNames map[string]bool
	serviceNames   map[string]bool
	workspaceByKey map[KeyHash]string // name of the workspace that has the key
}

func (v *validator) addViolation(path, format string, args ...any) {
	v.violations = append(v.violations, Violation{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (v *validator) checkName(path, name string, seen map[string]bool) {
	switch {
	case len(name) > MaxNameLength:
		v.addViolation(path, "%d characters, at most %d", len(name), MaxNameLength)
	case !namePattern.MatchString(name):
		v.addViolation(path, "%q is not a name: lower-case letters, digits, '-' and '.'", name)
	case seen[name]:
		v.addViolation(path, "duplicate name %q", name)
	}
	seen[name] = true
}

func (v *validator) checkWorkspace(path string, w *Workspace) {
	v.checkName(path+".name", w.Name, v.workspaceNames)
	if w.Owner == "" {
		v.addViolation(path+".owner", "missing")
	}
	if !w.Class.Valid() {
		v.addViolation(path+".class", "%q is not one of interactive, standard, batch", w.Class)
	}
	if w.Weight < 1 || w.Weight > MaxWeight {
		v.addViolation(path+".weight", "%d is out of range 1..%d", w.Weight, MaxWeight)
	}
	v.checkLimits(path+".limits", w.Limits)
	v.checkKeys(path+".keys", w)
}

func (v *validator) checkLimits(path string, l Limits) {
	if !(l.RequestsPerSecond >= 0 && l.RequestsPerSecond <= MaxRate) {
		v.addViolation(path+".requestsPerSecond", "%g is out of range 0..%g", l.RequestsPerSecond, MaxRate)
	}
	if l.Concurrency < 0 || l.Concurrency > MaxConcurrency {
		v.addViolation(path+".concurrency", "%d is out of range 0..%d", l.Concurrency, MaxConcurrency)
	}
	if !(l.TokensPerSecond >= 0 && l.TokensPerSecond <= MaxRate) {
		v.addViolation(path+".tokensPerSecond", "%g is out of range 0..%g", l.TokensPerSecond, MaxRate)
	}
}

func (v *validator) checkKeys(path string, w *Workspace) {
	if len(w.Keys) == 0 {
		v.addViolation(path, "missing: without a key nobody can call")
	}
	if len(w.Keys) > MaxKeysPerWorkspace {
		v.addViolation(path, "%d keys, at most %d", len(w.Keys), MaxKeysPerWorkspace)
	}
	for i, k := range w.Keys {
		keyPath := fmt.Sprintf("%s[%d]", path, i)
		if !k.Valid() {
			v.addViolation(keyPath, "not a key hash: \"sha256:\" and 64 lower-case hex digits")
			continue
		}
		if other, duplicate := v.workspaceByKey[k]; duplicate {
			v.addViolation(keyPath, "duplicate key: workspace %q has it too", other)
		}
		v.workspaceByKey[k] = w.Name
	}
}

func (v *validator) checkService(path string, s *Service) {
	v.checkName(path+".name", s.Name, v.serviceNames)
	if s.Owner == "" {
		v.addViolation(path+".owner", "missing")
	}
	switch s.Kind {
	case KindModel:
		v.checkModelService(path, s)
	case KindPlain:
		v.checkPlainService(path, s)
	default:
		v.addViolation(path+".kind", "%q is not one of model, plain", s.Kind)
	}
	for i, name := range s.Workspaces {
		if !v.workspaceNames[name] {
			v.addViolation(fmt.Sprintf("%s.workspaces[%d]", path, i), "no workspace %q", name)
		}
	}
	if s.MaxBody < 0 || s.MaxBody > MaxBodyBytes {
		v.addViolation(path+".maxBodyBytes", "%d is out of range 0..%d", s.MaxBody, MaxBodyBytes)
	}
	v.checkLatency(path+".target.firstToken", s.Target.FirstToken)
	v.checkLatency(path+".target.betweenTokens", s.Target.BetweenTokens)
}

func (v *validator) checkLatency(path string, d time.Duration) {
	if d < 0 || d > MaxLatencyTarget {
		v.addViolation(path, "%s is out of range 0..%s", d, MaxLatencyTarget)
	}
}

func (v *validator) checkModelService(path string, s *Service) {
	if s.Model == "" {
		v.addViolation(path+".model", "missing: a model service names its model")
	}
	if len(s.Calls) > 0 {
		v.addViolation(path+".calls", "only plain services have call rules")
	}
}

func (v *validator) checkPlainService(path string, s *Service) {
	if s.Model != "" {
		v.addViolation(path+".model", "only model services name a model")
	}
	if s.Adapter != "" {
		v.addViolation(path+".adapter", "only model services name an adapter")
	}
	for i, r := range s.Calls {
		rulePath := fmt.Sprintf("%s.calls[%d]", path, i)
		if r.Method == "" || r.Method != strings.ToUpper(r.Method) {
			v.addViolation(rulePath+".method", "%q is not an upper-case method or \"*\"", r.Method)
		}
		if !strings.HasPrefix(r.PathPrefix, "/") {
			v.addViolation(rulePath+".pathPrefix", "%q does not begin with /", r.PathPrefix)
		}
	}
}

// Allows reports whether the workspace may call the service.
func (s *Service) Allows(workspace string) bool {
	return len(s.Workspaces) == 0 || slices.Contains(s.Workspaces, workspace)
}

// BodyLimit returns the maximum size of a request body in bytes.
func (s *Service) BodyLimit() int64 {
	if s.MaxBody == 0 {
		return DefaultMaxBodyBytes
	}
	return s.MaxBody
}

// Idempotent reports whether a call may be repeated. Model calls always may,
// since they have no side effects.
func (s *Service) Idempotent(method, path string) bool {
	if s.Kind == KindModel {
		return true
	}
	for _, r := range s.Calls {
		if (r.Method == "*" || r.Method == method) && strings.HasPrefix(path, r.PathPrefix) {
			return r.Idempotent
		}
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	default:
		return false
	}
}
