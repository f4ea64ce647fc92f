package gate

// jsonEnd follows the bytes of a JSON object or list to see where it ends. It doesn't check
// the value.
type jsonEnd struct {
	depth    int
	begun    bool
	inString bool
	escaped  bool // the next byte of a string has no meaning
}

// add follows the next bytes.
func (j *jsonEnd) add(data []byte) {
	for _, b := range data {
		if j.inString {
			j.addToString(b)
			continue
		}
		switch b {
		case '"':
			j.inString = true
		case '{', '[':
			j.depth++
			j.begun = true
		case '}', ']':
			j.depth--
		}
	}
}

func (j *jsonEnd) addToString(b byte) {
	switch {
	case j.escaped:
		j.escaped = false
	case b == '\\':
		j.escaped = true
	case b == '"':
		j.inString = false
	}
}

// whole reports whether the value has ended.
func (j *jsonEnd) whole() bool { return j.begun && j.depth == 0 && !j.inString }
