// Package conf reads the settings of a process from YAML: who it is, where it
// listens, whom it knows and what it limits. Settings are checked as strictly
// as documents; faults are *codec.DocumentError values with line and column.
package conf
