package wire

import (
	"fmt"
	"strconv"
)

// The simulator's wire has numbers for workers and keys. Outside the simulator their names are these numbers in
// lower-case hexadecimal.

// WorkerNumber returns the number of a worker with a name such as s-0badcafe, and whether the name has exactly that
// form, so that no two names share a number.
func WorkerNumber(name string) (uint32, bool) {
	n, ok := number(name, "s-%08x", 2, 32)
	return uint32(n), ok
}

// KeyNumber returns the number of a key with a name such as 7f3a9c21e0b4d655, and whether the name has exactly that
// form.
func KeyNumber(name string) (uint64, bool) { return number(name, "%016x", 0, 64) }

func number(name, form string, from, bits int) (uint64, bool) {
	n, err := strconv.ParseUint(name[min(from, len(name)):], 16, bits)
	return n, err == nil && fmt.Sprintf(form, n) == name
}
