package bootstrap

import (
	"errors"
	"fmt"
	"slices"

	"cairnfront/routing"
)

// Errors in the settings that callers can test for. They are wrapped by a FieldError.
var (
	ErrUnknownEffect    = errors.New("unknown effect")
	ErrNoAttempts       = errors.New("allows no attempt")
	ErrObjectiveTooLong = errors.New("over the deadline")
)

// effects are the valid effects of a request class. The effect is empty if the file does not specify it.
var effects = []routing.Effect{"", routing.Idempotent, routing.WithIdempotencyKey, routing.NonIdempotent}

// validateSettings returns a FieldError for a setting with which a router would serve no request, or would retry a
// request that is not idempotent. Missing and unknown settings are accepted, because the protocol requires that new
// keys are skipped.
func (c Config) validateSettings() error {
	if attempts := c.Settings.Float(routing.SettingMaxAttempts, 1); attempts < 1 {
		return &FieldError{"settings.limits.max_attempts", fmt.Errorf("%w: %g", ErrNoAttempts, attempts)}
	}
	for class := range c.ClassNames {
		effect := routing.Effect(c.Settings[routing.ClassSetting(routing.ClassIndex(class), routing.ClassEffect)])
		if !slices.Contains(effects, effect) {
			return &FieldError{classField(class, "effect"), fmt.Errorf("%w: %q", ErrUnknownEffect, effect)}
		}
	}
	return nil
}

// CheckObjectives returns a FieldError for a class whose latency objective is longer than its deadline. A router
// accepts such a class, because every response before the deadline is then within the objective, but it is most likely
// a mistake.
func (c Config) CheckObjectives() error {
	for class := range c.ClassNames {
		objective := c.classSeconds(class, routing.ClassLatencyObjective)
		deadline := c.classSeconds(class, routing.ClassDeadline)
		if deadline > 0 && objective > deadline {
			err := fmt.Errorf("%w: %g s, and a deadline of %g s", ErrObjectiveTooLong, objective, deadline)
			return &FieldError{classField(class, "on_time_s"), err}
		}
	}
	return nil
}

// classSeconds returns the value in seconds of a field of a class, or 0 if the field is missing.
func (c Config) classSeconds(class int, field routing.ClassField) float64 {
	return c.Settings.Float(routing.ClassSetting(routing.ClassIndex(class), field), 0)
}

// classField returns the path of a class's field in the file.
func classField(class int, key string) string {
	return fmt.Sprintf("%s.%s[%d].%s", fieldSettings, settingClasses, class, key)
}
