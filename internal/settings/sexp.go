package settings

import (
	"errors"
	"strings"
)

// sexp is an atom or a list. No well-kept library for S-expressions was found,
// so this small reader stands in for one: atoms without quoting, lists, and
// comments from ';' to the end of the line.
type sexp struct {
	atom string
	list []sexp
}

// maxDepth bounds nesting, so that a hostile file can't exhaust the stack.
const maxDepth = 16

func parseSexp(src string) ([]sexp, error) {
	p := &sexpParser{src: src}
	out, err := p.sequence(0)
	if err == nil && p.pos < len(p.src) {
		err = errors.New("unexpected )")
	}
	return out, err
}

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
		case strings.IndexByte(" \t\r\n", c) >= 0:
			p.pos++
		case c == ';':
			if n := strings.IndexByte(p.src[p.pos:], '\n'); n >= 0 {
				p.pos += n
			} else {
				p.pos = len(p.src)
			}
		case c == ')':
			return out, nil
		case c == '(':
			p.pos++
			list, err := p.sequence(depth + 1)
			if err != nil {
				return nil, err
			}
			if p.pos >= len(p.src) {
				return nil, errors.New("missing )")
			}
			p.pos++
			out = append(out, sexp{list: list})
		default:
			end := strings.IndexAny(p.src[p.pos:], " \t\r\n();")
			if end < 0 {
				end = len(p.src) - p.pos
			}
			out = append(out, sexp{atom: p.src[p.pos : p.pos+end]})
			p.pos += end
		}
	}
	return out, nil
}
