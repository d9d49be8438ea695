// Package httpstatus validates the status of HTTP responses.
package httpstatus

const (
	minStatus = 100
	maxStatus = 599
)

// Parse returns the status, and false unless the text is three digits from 100 to 599.
// strconv.Atoi, which net/http uses, accepts signs and leading zeros, too.
func Parse(text string) (int, bool) {
	if len(text) != 3 {
		return 0, false
	}
	status := 0
	for _, digit := range []byte(text) {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		status = 10*status + int(digit-'0')
	}
	return status, status >= minStatus && status <= maxStatus
}
