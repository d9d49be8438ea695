package shelfmark

// maxDepth bounds the nesting of objects and arrays. The deepest field of the
// protocol, Rows[].Fields[].Name, is at depth 5.
const maxDepth = 8

// names are all names of the protocol. A name that belongs to another object
// is refused by the decoder of the wire struct.
var names = map[string]struct{}{
	"Catalogue": {}, "Code": {}, "Epoch": {}, "Fields": {}, "Filters": {}, "From": {},
	"Incarnation": {}, "Key": {}, "Keys": {}, "Leaving": {}, "Message": {}, "Name": {},
	"Number": {}, "Queued": {}, "RemainingMilliseconds": {}, "Report": {}, "Request": {},
	"RetryAfterMilliseconds": {}, "Rows": {}, "Server": {}, "Shard": {}, "SlotsBusy": {},
	"Snapshot": {}, "Snapshots": {}, "To": {}, "Value": {},
}

// scope is an open object or array.
type scope struct {
	object bool
	// seen are the names of the object so far.
	seen [len("0123456789")]string
	used int
}

// exactNames reports whether every name in valid JSON is a name of the
// protocol in its exact spelling and occurs once in its object, and that there
// is no null.
func exactNames(body []byte) bool {
	var stack [maxDepth]scope
	depth := 0
	expectName := false
	for i := 0; i < len(body); i++ {
		switch body[i] {
		case '{', '[':
			if depth == maxDepth {
				return false
			}
			stack[depth].object = body[i] == '{'
			stack[depth].used = 0
			expectName = stack[depth].object
			depth++
		case '}', ']':
			depth--
			expectName = false
		case 'n':
			// Outside of strings, only null has this letter.
			return false
		case ',':
			expectName = stack[depth-1].object
		case '"':
			end := closingQuote(body, i)
			if expectName && !stack[depth-1].add(body[i+1:end]) {
				return false
			}
			expectName = false
			i = end
		}
	}
	return true
}

// closingQuote returns the index of the quote that ends the string at start.
func closingQuote(body []byte, start int) int {
	for i := start + 1; ; i++ {
		switch body[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
}

func (s *scope) add(name []byte) bool {
	if _, known := names[string(name)]; !known {
		return false
	}
	for _, earlier := range s.seen[:s.used] {
		if earlier == string(name) {
			return false
		}
	}
	if s.used == len(s.seen) {
		return false
	}
	s.seen[s.used] = string(name)
	s.used++
	return true
}
