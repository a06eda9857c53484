package ident

// Option is an optional value. The zero Option holds no value.
type Option[T any] struct {
	value   T
	present bool
}

// Some returns an Option that holds a value.
func Some[T any](value T) Option[T] { return Option[T]{value: value, present: true} }

// None returns an Option that holds no value.
func None[T any]() Option[T] { return Option[T]{} }

// Get returns the value, and whether the Option holds one.
func (o Option[T]) Get() (T, bool) { return o.value, o.present }

// Or returns the value, or the fallback if the Option holds none.
func (o Option[T]) Or(fallback T) T {
	if o.present {
		return o.value
	}
	return fallback
}
