package tomlfile

import (
	"fmt"
	"strconv"
	"strings"
)

// Size is a number of bytes, written as "64KiB", "1MiB" or a whole number of bytes.
type Size int

// Units of a Size, in bytes.
const (
	KiB Size = 1 << 10
	MiB Size = 1 << 20
	GiB Size = 1 << 30
)

// UnmarshalText parses a size.
func (s *Size) UnmarshalText(text []byte) error {
	number := string(text)
	unit := Size(1)
	for _, u := range []struct {
		name  string
		bytes Size
	}{{"KiB", KiB}, {"MiB", MiB}, {"GiB", GiB}} {
		if before, found := strings.CutSuffix(number, u.name); found {
			number, unit = before, u.bytes
		}
	}
	n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 32)
	if err != nil || n < 0 {
		return fmt.Errorf(`must be a size in bytes, such as "64KiB" or 65536`)
	}
	*s = Size(n) * unit
	return nil
}

// String formats the size in the largest unit of which it is a whole multiple.
func (s Size) String() string {
	for _, u := range []struct {
		name  string
		bytes Size
	}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}} {
		if s >= u.bytes && s%u.bytes == 0 {
			return strconv.Itoa(int(s/u.bytes)) + u.name
		}
	}
	return strconv.Itoa(int(s)) + "B"
}
