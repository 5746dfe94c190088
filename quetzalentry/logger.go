package main

import (
	"os"

	"github.com/phuslu/log"
)

// prefixLog logs the messages of one component of the program, each with the
// component's prefix.
type prefixLog struct {
	logger *log.Logger
	prefix string
}

func newLogger(level string) *log.Logger {
	return &log.Logger{Level: log.ParseLevel(level), Writer: &log.IOWriter{Writer: os.Stderr}}
}

func (p prefixLog) info(msg string)             { p.logger.Info().Msg(p.prefix + msg) }
func (p prefixLog) warn(msg string, err error)  { p.logger.Warn().Err(err).Msg(p.prefix + msg) }
func (p prefixLog) debug(msg string, err error) { p.logger.Debug().Err(err).Msg(p.prefix + msg) }
