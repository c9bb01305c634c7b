// Package enum provides the names of the values of enumerated types.
package enum

import "fmt"

// Name returns names[value]. For a value outside names, it returns kind and the number of the value, such as
// "state 9".
func Name[E ~uint8](names []string, value E, kind string) string {
	if int(value) < len(names) {
		return names[value]
	}
	return fmt.Sprintf("%s %d", kind, uint8(value))
}
