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

func (p prefixLog) info(text string)             { p.logger.Info().Msg(p.prefix + text) }
func (p prefixLog) warn(text string, err error)  { p.logger.Warn().Err(err).Msg(p.prefix + text) }
func (p prefixLog) debug(text string, err error) { p.logger.Debug().Err(err).Msg(p.prefix + text) }
