// Package enum names the values of enumerations.
package enum

import "fmt"

// Name returns the name of a value, which is its index in names. The name of any other value is the kind with
// its number, such as "state 9".
func Name[E ~uint8](names []string, value E, kind string) string {
	if int(value) < len(names) {
		return names[value]
	}
	return fmt.Sprintf("%s %d", kind, uint8(value))
}
