package policy

import "fmt"

// ConfigError names a setting of a policy that is out of range.
type ConfigError struct {
	Policy string
	Field  string
	Want   string // the range, as in "at least 1"
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s: %s must be %s", e.Policy, e.Field, e.Want)
}

// Rule is what a setting has to be.
type Rule struct {
	field string
	holds bool
	want  string
}

// Require returns the rule that holds says whether a field keeps.
func Require(field string, holds bool, want string) Rule {
	return Rule{field: field, holds: holds, want: want}
}

// Check returns a *ConfigError for the first rule that does not hold.
func Check(policy string, rules ...Rule) error {
	for _, r := range rules {
		if !r.holds {
			return &ConfigError{Policy: policy, Field: r.field, Want: r.want}
		}
	}
	return nil
}
