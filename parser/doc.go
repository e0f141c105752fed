// Package parser parses rule files. A rule file has one rule per line. Each rule
// ends with a comment, "# NAME: WHY", that states who asked for the rule and why.
package parser
