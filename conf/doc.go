// Package conf reads the settings of a process from YAML: its role and host, the
// addresses it listens on, the control hosts and the platform list it connects
// to, TLS files, operator tokens and limits. Settings are validated as strictly
// as documents: unknown fields are errors, and errors are *codec.DocumentError
// values with line and column.
package conf
