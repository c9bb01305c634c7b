package settings

import (
	"errors"
	"strings"
)

// sexp is an S-expression: an atom, or a list of S-expressions. Atoms have no quoting; comments go
// from ';' to the end of the line.
type sexp struct {
	atom string
	list []sexp
}

// maxDepth bounds nesting, so that no file can exhaust the stack.
const maxDepth = 16

// Characters that separate atoms.
const (
	whitespace = " \t\r\n"
	delimiters = whitespace + "();"
)

// parseSexp reads the S-expressions of a text.
func parseSexp(src string) ([]sexp, error) {
	p := &sexpParser{src: src}
	out, err := p.sequence(0)
	if err == nil && p.pos < len(p.src) {
		err = errors.New("unexpected )")
	}
	return out, err
}

// sexpParser reads S-expressions from a position on.
type sexpParser struct {
	src string
	pos int
}

// sequence reads expressions up to a ')' or the end.
func (p *sexpParser) sequence(depth int) ([]sexp, error) {
	if depth > maxDepth {
		return nil, errors.New("nested too deeply")
	}
	var out []sexp
	for p.pos < len(p.src) {
		switch c := p.src[p.pos]; {
		case strings.IndexByte(whitespace, c) >= 0:
			p.pos++
		case c == ';':
			p.skipComment()
		case c == ')':
			return out, nil
		case c == '(':
			list, err := p.list(depth + 1)
			if err != nil {
				return nil, err
			}
			out = append(out, list)
		default:
			out = append(out, p.atom())
		}
	}
	return out, nil
}

// skipComment skips to the end of the line.
func (p *sexpParser) skipComment() {
	if n := strings.IndexByte(p.src[p.pos:], '\n'); n >= 0 {
		p.pos += n
	} else {
		p.pos = len(p.src)
	}
}

// list reads a list from its '(' to its ')'.
func (p *sexpParser) list(depth int) (sexp, error) {
	p.pos++
	list, err := p.sequence(depth)
	if err != nil {
		return sexp{}, err
	}
	if p.pos >= len(p.src) {
		return sexp{}, errors.New("missing )")
	}
	p.pos++
	return sexp{list: list}, nil
}

// atom reads an atom.
func (p *sexpParser) atom() sexp {
	end := strings.IndexAny(p.src[p.pos:], delimiters)
	if end < 0 {
		end = len(p.src) - p.pos
	}
	atom := sexp{atom: p.src[p.pos : p.pos+end]}
	p.pos += end
	return atom
}
