package settings

import (
	"errors"
	"strings"
)

// sexp is an S-expression: an atom, or a list of S-expressions. Atoms cannot be quoted. A comment extends
// from ';' to the end of the line.
type sexp struct {
	atom string
	list []sexp
}

// maxDepth is the maximum nesting depth of lists. It prevents stack exhaustion in the recursive parser. The
// error text repeats the number.
const maxDepth = 16

// Characters that separate atoms.
const (
	whitespace = " \t\r\n"
	delimiters = whitespace + "();"
)

// parseSexp parses a sequence of S-expressions.
func parseSexp(src string) ([]sexp, error) {
	p := &sexpParser{src: src}
	exprs, err := p.parseSequence(0)
	if err == nil && p.pos < len(p.src) {
		err = errors.New("unexpected ) without a matching (")
	}
	return exprs, err
}

// sexpParser is a recursive descent parser for S-expressions.
type sexpParser struct {
	src string
	pos int
}

// parseSequence parses expressions up to a ')' or the end of the text.
func (p *sexpParser) parseSequence(depth int) ([]sexp, error) {
	if depth > maxDepth {
		return nil, errors.New("lists nested more than 16 levels deep")
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

// skipComment advances to the end of the line.
func (p *sexpParser) skipComment() {
	if n := strings.IndexByte(p.src[p.pos:], '\n'); n >= 0 {
		p.pos += n
	} else {
		p.pos = len(p.src)
	}
}

// parseList parses a list from its '(' to its ')'.
func (p *sexpParser) parseList(depth int) (sexp, error) {
	p.pos++
	list, err := p.parseSequence(depth)
	if err != nil {
		return sexp{}, err
	}
	if p.pos >= len(p.src) {
		return sexp{}, errors.New("missing ) at the end of the file")
	}
	p.pos++
	return sexp{list: list}, nil
}

// parseAtom parses an atom.
func (p *sexpParser) parseAtom() sexp {
	end := strings.IndexAny(p.src[p.pos:], delimiters)
	if end < 0 {
		end = len(p.src) - p.pos
	}
	atom := sexp{atom: p.src[p.pos : p.pos+end]}
	p.pos += end
	return atom
}
