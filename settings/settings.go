// Package settings reads a process's settings from flags and SAVORYREEL_*
// environment variables, a flag before a variable before the default, and
// checks them all before anything starts.
package settings

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/pflag"
	"github.com/spf13/viper"
)

// EnvPrefix begins the name of every variable.
const EnvPrefix = "SAVORYREEL"

// Fault is one setting that was refused.
type Fault struct {
	Flag, Variable, Reason string
}

// InvalidError lists every fault of a process's settings.
type InvalidError struct {
	Faults []Fault
}

// Error names flag, variable and reason, one fault a line.
func (e *InvalidError) Error() string {
	lines := []string{"settings refused:"}
	for _, f := range e.Faults {
		lines = append(lines, fmt.Sprintf("  --%s (%s): %s", f.Flag, f.Variable, f.Reason))
	}
	return strings.Join(lines, "\n")
}

// Check refuses a value by returning why.
type Check[T any] func(T) error

// Set declares the settings of one process and reads them.
type Set struct {
	flags   *pflag.FlagSet
	viper   *viper.Viper
	secrets map[string]bool
	loaders []func() *Fault
}

// New returns a Set that declares its flags on flags.
func New(flags *pflag.FlagSet) *Set {
	v := viper.New()
	v.SetEnvPrefix(EnvPrefix)
	v.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	v.AutomaticEnv()
	return &Set{flags: flags, viper: v, secrets: map[string]bool{}}
}

// String declares a text setting that Load writes to into.
func (s *Set) String(dst *string, name, def, usage string, checks ...Check[string]) {
	s.flags.String(name, def, usage+s.variableHint(name))
	declare(s, dst, name, s.viper.GetString, checks)
}

// Secret declares a text setting whose value Print leaves out.
func (s *Set) Secret(dst *string, name, usage string, checks ...Check[string]) {
	s.secrets[name] = true
	s.String(dst, name, "", usage, checks...)
}

// Strings declares a comma-separated list.
func (s *Set) Strings(dst *[]string, name string, def []string, usage string, checks ...Check[[]string]) {
	s.flags.StringSlice(name, def, usage+s.variableHint(name))
	declare(s, dst, name, s.list, checks)
}

// Int declares a whole number.
func (s *Set) Int(dst *int, name string, def int, usage string, checks ...Check[int]) {
	s.flags.Int(name, def, usage+s.variableHint(name))
	declare(s, dst, name, s.viper.GetInt, checks)
}

// Duration declares a length of time, such as 500ms.
func (s *Set) Duration(dst *time.Duration, name string, def time.Duration, usage string, checks ...Check[time.Duration]) {
	s.flags.Duration(name, def, usage+s.variableHint(name))
	declare(s, dst, name, s.viper.GetDuration, checks)
}

// Bool declares a switch.
func (s *Set) Bool(dst *bool, name string, def bool, usage string) {
	s.flags.Bool(name, def, usage+s.variableHint(name))
	declare(s, dst, name, s.viper.GetBool, nil)
}

// Load reads and checks every setting. The error is an *InvalidError that
// lists all faults together, so that an operator mends them in one go.
func (s *Set) Load() error {
	if err := s.viper.BindPFlags(s.flags); err != nil {
		return trace.Wrap(err, "step=bind flags")
	}
	var faults []Fault
	for _, load := range s.loaders {
		if f := load(); f != nil {
			faults = append(faults, *f)
		}
	}
	if len(faults) > 0 {
		return &InvalidError{Faults: faults}
	}
	return nil
}

// Print writes every setting in force as variable=value, secrets as "(set)".
func (s *Set) Print(w io.Writer) {
	s.flags.VisitAll(func(f *pflag.Flag) {
		value := s.viper.GetString(f.Name)
		if f.Value.Type() == "stringSlice" {
			value = strings.Join(s.list(f.Name), ",")
		}
		if s.secrets[f.Name] && value != "" {
			value = "(set)"
		}
		fmt.Fprintf(w, "%s=%s\n", variableName(f.Name), value)
	})
}

// list reads a list that came from a flag or, comma-separated, from a variable.
func (s *Set) list(name string) []string {
	var out []string
	for _, item := range s.viper.GetStringSlice(name) {
		for part := range strings.SplitSeq(item, ",") {
			if part = strings.TrimSpace(part); part != "" {
				out = append(out, part)
			}
		}
	}
	return out
}

func (s *Set) variableHint(name string) string { return " [" + variableName(name) + "]" }

func variableName(name string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

func declare[T any](s *Set, dst *T, name string, get func(string) T, checks []Check[T]) {
	s.loaders = append(s.loaders, func() *Fault {
		if err := s.checkSyntax(name); err != nil {
			return &Fault{Flag: name, Variable: variableName(name), Reason: err.Error()}
		}
		value := get(name)
		for _, check := range checks {
			if err := check(value); err != nil {
				return &Fault{Flag: name, Variable: variableName(name), Reason: err.Error()}
			}
		}
		*dst = value
		return nil
	})
}

// wellFormed parses a variable's text as the flag would. The library's own
// conversion turns text that is not a number into zero, which would start a
// process with a setting that nobody chose.
func (s *Set) checkSyntax(name string) error {
	f := s.flags.Lookup(name)
	if f.Changed || f.Value.Type() == "stringSlice" {
		return nil
	}
	previous := f.Value.String()
	text := s.viper.GetString(name)
	if err := f.Value.Set(text); err != nil {
		return fmt.Errorf("%q is not a %s", text, f.Value.Type())
	}
	return f.Value.Set(previous)
}

// Required refuses an empty text.
func Required(v string) error {
	if v == "" {
		return fmt.Errorf("missing")
	}
	return nil
}

// HostPort refuses text that is not an IP number and a port.
func HostPort(v string) error {
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		return fmt.Errorf("%q is not host:port", v)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP number: instances talk by IP number", host)
	}
	if _, err := net.LookupPort("tcp", port); err != nil {
		return fmt.Errorf("%q is not a port", port)
	}
	return nil
}

// HostPorts checks each item of a list with HostPort.
func HostPorts(list []string) error {
	for _, v := range list {
		if err := HostPort(v); err != nil {
			return err
		}
	}
	return nil
}

// Optional skips a check for the empty text.
func Optional(check Check[string]) Check[string] {
	return func(v string) error {
		if v == "" {
			return nil
		}
		return check(v)
	}
}

// Between refuses a value outside lo..hi.
func Between[T int | time.Duration](lo, hi T) Check[T] {
	return func(v T) error {
		if v < lo || v > hi {
			return fmt.Errorf("%v is out of range %v..%v", v, lo, hi)
		}
		return nil
	}
}

// LogLevel refuses text that names no level of log/slog.
func LogLevel(v string) error {
	return new(slog.Level).UnmarshalText([]byte(v))
}
