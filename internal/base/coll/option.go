package coll

// Option is a value that may be absent. The zero value is absent.
type Option[T any] struct {
	value   T
	present bool
}

// Some returns an option that holds v.
func Some[T any](v T) Option[T] {
	return Option[T]{value: v, present: true}
}

// None returns an absent option.
func None[T any]() Option[T] {
	return Option[T]{}
}

// Get returns the value and whether it is present.
func (o Option[T]) Get() (T, bool) {
	return o.value, o.present
}

// Or returns the value, or fallback if it is absent.
func (o Option[T]) Or(fallback T) T {
	if o.present {
		return o.value
	}
	return fallback
}
