// Package parser reads rule files. A rule file has one rule a line; each rule
// ends in a comment that names who asked for it and why.
package parser
