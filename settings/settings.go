// Package settings reads the settings of a process from flags and SAVORYREEL_*
// environment variables and validates them before the process starts. A flag
// overrides a variable, and a variable overrides the default.
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

// EnvPrefix is the prefix of every environment variable's name.
const EnvPrefix = "SAVORYREEL"

// Usage texts of settings that several processes have.
const (
	MemoryUsage      = "memory that this process may use, in megabytes; 0: what the machine has"
	DescriptorsUsage = "descriptors that this process may open; 0: the limit of the system"
)

// Fault describes one invalid setting.
type Fault struct {
	Flag, Variable, Reason string
}

// InvalidError lists all invalid settings of a process.
type InvalidError struct {
	Faults []Fault
}

// Error returns one line per fault, with the flag, the variable and the reason.
func (e *InvalidError) Error() string {
	lines := []string{"settings refused:"}
	for _, f := range e.Faults {
		lines = append(lines, fmt.Sprintf("  --%s (%s): %s", f.Flag, f.Variable, f.Reason))
	}
	return strings.Join(lines, "\n")
}

// Check validates a value. It returns an error that gives the reason if the value is
// invalid.
type Check[T any] func(T) error

// Set holds the declared settings of one process. Declare all of them, parse the
// flags, then call Load.
type Set struct {
	flags   *pflag.FlagSet
	viper   *viper.Viper
	secrets map[string]bool
	loaders []func() *Fault
}

// New returns an empty Set that adds its flags to flags.
func New(flags *pflag.FlagSet) *Set {
	v := viper.New()
	v.SetEnvPrefix(EnvPrefix)
	v.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	v.AutomaticEnv()
	return &Set{flags: flags, viper: v, secrets: map[string]bool{}}
}

// String declares a string setting that Load stores in dst.
func (s *Set) String(dst *string, name, def, usage string, checks ...Check[string]) {
	s.flags.String(name, def, usage+s.variableHint(name))
	declare(s, dst, name, s.viper.GetString, checks)
}

// Secret declares a string setting whose value Print hides.
func (s *Set) Secret(dst *string, name, usage string, checks ...Check[string]) {
	s.secrets[name] = true
	s.String(dst, name, "", usage, checks...)
}

// Strings declares a setting that is a comma-separated list.
func (s *Set) Strings(dst *[]string, name string, def []string, usage string, checks ...Check[[]string]) {
	s.flags.StringSlice(name, def, usage+s.variableHint(name))
	declare(s, dst, name, s.list, checks)
}

// Int declares an integer setting.
func (s *Set) Int(dst *int, name string, def int, usage string, checks ...Check[int]) {
	s.flags.Int(name, def, usage+s.variableHint(name))
	declare(s, dst, name, s.viper.GetInt, checks)
}

// Duration declares a setting in the format of time.ParseDuration, such as 500ms.
func (s *Set) Duration(dst *time.Duration, name string, def time.Duration, usage string, checks ...Check[time.Duration]) {
	s.flags.Duration(name, def, usage+s.variableHint(name))
	declare(s, dst, name, s.viper.GetDuration, checks)
}

// Bool declares a boolean setting.
func (s *Set) Bool(dst *bool, name string, def bool, usage string) {
	s.flags.Bool(name, def, usage+s.variableHint(name))
	declare(s, dst, name, s.viper.GetBool, nil)
}

// Load reads and validates every setting, and stores the valid ones. If any is
// invalid, it returns an *InvalidError that lists all of them, so that an operator
// can correct them together.
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

// Print writes the effective value of every setting as variable=value. It prints a
// secret that is not empty as "(set)".
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

// list returns the items of a list, trimmed and without empty ones. It splits each
// item at commas because viper does not split the text of a variable there.
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

// variableHint returns the variable's name in brackets, for the usage text of a flag.
func (s *Set) variableHint(name string) string { return " [" + variableName(name) + "]" }

// variableName returns the name of the environment variable for a flag.
func variableName(name string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// declare adds a loader that validates the setting and stores its value in dst.
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

// checkSyntax returns an error if the text of a variable does not parse as the type of
// its flag. Without this check viper converts text that is not a number to zero, and the
// process starts with that value.
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

// Required is a Check that rejects the empty string.
func Required(v string) error {
	if v == "" {
		return fmt.Errorf("missing")
	}
	return nil
}

// HostPort is a Check that accepts only an IP address and a port, as in 127.0.0.1:7001.
func HostPort(v string) error {
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		return fmt.Errorf("%q is not host:port", v)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address; host names are not accepted", host)
	}
	if _, err := net.LookupPort("tcp", port); err != nil {
		return fmt.Errorf("%q is not a port", port)
	}
	return nil
}

// HostPorts is a Check that applies HostPort to each item of a list.
func HostPorts(list []string) error {
	for _, v := range list {
		if err := HostPort(v); err != nil {
			return err
		}
	}
	return nil
}

// Optional returns a Check that accepts the empty string and applies check to any other.
func Optional(check Check[string]) Check[string] {
	return func(v string) error {
		if v == "" {
			return nil
		}
		return check(v)
	}
}

// Between returns a Check that accepts values from lo to hi, both included.
func Between[T int | time.Duration](lo, hi T) Check[T] {
	return func(v T) error {
		if v < lo || v > hi {
			return fmt.Errorf("%v is out of range %v..%v", v, lo, hi)
		}
		return nil
	}
}

// LogLevel is a Check that accepts only names of slog levels.
func LogLevel(v string) error {
	return new(slog.Level).UnmarshalText([]byte(v))
}
