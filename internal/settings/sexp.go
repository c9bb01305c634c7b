package settings

import (
	"errors"
	"strings"
)

// sexp is an S-expression: an atom, or a list of S-expressions. There is no quoting. Comments extend from
// ';' to the end of the line.
type sexp struct {
	atom string
	list []sexp
}

// maxDepth is the maximum nesting depth. It prevents stack exhaustion.
const maxDepth = 16

// Characters that separate atoms.
const (
	whitespace = " \t\r\n"
	delimiters = whitespace + "();"
)

// parseSexp parses the S-expressions in a text.
func parseSexp(src string) ([]sexp, error) {
	p := &sexpParser{src: src}
	exprs, err := p.parseSequence(0)
	if err == nil && p.pos < len(p.src) {
		err = errors.New("unexpected )")
	}
	return exprs, err
}

// sexpParser is a recursive descent parser of S-expressions.
type sexpParser struct {
	src string
	pos int
}

// parseSequence reads expressions up to a ')' or the end.
func (p *sexpParser) parseSequence(depth int) ([]sexp, error) {
	if depth > maxDepth {
		return nil, errors.New("nested too deeply")
	}
	var exprs []sexp
	for p.pos < len(p.src) {
		switch c := p.src[p.pos]; {
		case strings.IndexByte(whitespace, c) >= 0:
			p.pos++
		case c == ';':
			p.skipComment()
		case c == ')':
			return exprs, nil
		case c == '(':
			list, err := p.parseList(depth + 1)
			if err != nil {
				return nil, err
			}
			exprs = append(exprs, list)
		default:
			exprs = append(exprs, p.parseAtom())
		}
	}
	return exprs, nil
}

// skipComment skips to the end of the line.
func (p *sexpParser) skipComment() {
	if n := strings.IndexByte(p.src[p.pos:], '\n'); n >= 0 {
		p.pos += n
	} else {
		p.pos = len(p.src)
	}
}

// parseList reads a list from its '(' to its ')'.
func (p *sexpParser) parseList(depth int) (sexp, error) {
	p.pos++
	list, err := p.parseSequence(depth)
	if err != nil {
		return sexp{}, err
	}
	if p.pos >= len(p.src) {
		return sexp{}, errors.New("missing )")
	}
	p.pos++
	return sexp{list: list}, nil
}

// parseAtom reads an atom.
func (p *sexpParser) parseAtom() sexp {
	end := strings.IndexAny(p.src[p.pos:], delimiters)
	if end < 0 {
		end = len(p.src) - p.pos
	}
	atom := sexp{atom: p.src[p.pos : p.pos+end]}
	p.pos += end
	return atom
}
