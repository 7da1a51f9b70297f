package bootstrap

import (
	"errors"
	"fmt"
	"slices"

	"cairnfront/routing"
)

// Errors in the settings that callers can test for, wrapped by a FieldError.
var (
	ErrUnknownEffect    = errors.New("unknown effect")
	ErrNoAttempts       = errors.New("allows no attempt")
	ErrObjectiveTooLong = errors.New("over the deadline")
)

// effects are those of a request class. A class without one may have any.
var effects = []routing.Effect{"", routing.Idempotent, routing.WithIdempotencyKey, routing.NonIdempotent}

// validateSettings returns a FieldError for a setting with which a router would run and serve nothing, or repeat what
// must not be repeated. Settings that are missing, or not known here, are accepted: the protocol has new keys skipped.
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

// CheckObjectives returns a FieldError for a class whose latency objective is over its deadline. A router accepts that,
// as each answer in time is then within the objective; it is most likely a mistake.
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

// classSeconds returns a number of seconds of a class, 0 where it is missing.
func (c Config) classSeconds(class int, field routing.ClassField) float64 {
	return c.Settings.Float(routing.ClassSetting(routing.ClassIndex(class), field), 0)
}

// classField is the place of a class's field in the file.
func classField(class int, key string) string {
	return fmt.Sprintf("%s.%s[%d].%s", fieldSettings, settingClasses, class, key)
}
