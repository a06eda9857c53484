// Package prof defines the documents that operators edit: the fleet, the
// profiles, the teams and the services. Documents are immutable and always
// valid. Their constructors return a *ValidationError with the path, the value
// and the allowed values of each invalid field. Paths refer to the operators'
// YAML format, such as "links[2].to".
//
// Package state checks the consistency between documents.
package prof
