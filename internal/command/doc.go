// Package command holds the logic of the operators' commands: it reads the
// operator's settings, talks to control through an operator.Client and writes
// results as tables or JSON.
package command
