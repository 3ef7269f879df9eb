package policy

import "fmt"

// ConfigError reports a policy setting that is out of range.
type ConfigError struct {
	Policy string
	Field  string
	Want   string // the allowed range, such as "at least 1"
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s: %s must be %s", e.Policy, e.Field, e.Want)
}

// Rule is one check of a setting. Require returns one and Check evaluates it.
type Rule struct {
	field string
	holds bool
	want  string
}

// Require returns the rule that the named field is valid if holds is true. want states
// the allowed range, for the error message.
func Require(field string, holds bool, want string) Rule {
	return Rule{field: field, holds: holds, want: want}
}

// Check returns a *ConfigError for the first rule that does not hold, or nil.
func Check(policy string, rules ...Rule) error {
	for _, r := range rules {
		if !r.holds {
			return &ConfigError{Policy: policy, Field: r.field, Want: r.want}
		}
	}
	return nil
}
