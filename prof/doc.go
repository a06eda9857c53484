// Package prof defines the documents that operators edit: the fleet, the
// profiles, the teams and the services. A document is immutable and valid once
// built; its constructor returns a *ValidationError that names each field at
// fault, its value and what is allowed. Field paths are the paths of the
// operators' format, such as "links[2].to".
//
// Checks that need more than one document are made by package state.
package prof
