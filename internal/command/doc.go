// Package command implements the operators' commands: it reads the operator's
// settings, sends requests to control through an operator.Client and writes the
// results as tables or JSON.
package command
