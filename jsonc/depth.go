package jsonc

// exceedsMaxDepth reports whether objects and arrays are nested more than maxDepth
// levels deep. Brackets in strings and comments don't count.
func exceedsMaxDepth(bytes []byte) bool {
	depth := 0
	for i := 0; i < len(bytes); i++ {
		switch bytes[i] {
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		case '"':
			i = stringEnd(bytes, i)
		case '/':
			i = commentEnd(bytes, i)
		}
		if depth > maxDepth {
			return true
		}
	}
	return false
}

// stringEnd returns the index of the closing quote of the string at start, or the
// length of bytes if there is none.
func stringEnd(bytes []byte, start int) int {
	for i := start + 1; i < len(bytes); i++ {
		switch bytes[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(bytes)
}

// commentEnd returns the index of the last byte of the comment at start, or
// start if there is no comment.
func commentEnd(bytes []byte, start int) int {
	if start+1 >= len(bytes) {
		return start
	}
	switch bytes[start+1] {
	case '/':
		for i := start + 2; i < len(bytes); i++ {
			if bytes[i] == '\n' {
				return i
			}
		}
		return len(bytes)
	case '*':
		for i := start + 3; i < len(bytes); i++ {
			if bytes[i-1] == '*' && bytes[i] == '/' {
				return i
			}
		}
		return len(bytes)
	default:
		return start
	}
}
