package consensus

import (
	"fmt"
	"log/slog"
)

// raftLog implements raft.Logger. It logs warnings and errors of raft at debug level, and panics on fatal ones.
type raftLog struct{ log *slog.Logger }

func (l raftLog) Debug(...any) {}

func (l raftLog) Debugf(string, ...any) {}

func (l raftLog) Info(...any) {}

func (l raftLog) Infof(string, ...any) {}

func (l raftLog) Warning(v ...any) { l.log.Debug("raft", "says", fmt.Sprint(v...)) }

func (l raftLog) Warningf(s string, v ...any) { l.log.Debug("raft", "says", fmt.Sprintf(s, v...)) }

func (l raftLog) Error(v ...any) { l.log.Debug("raft", "says", fmt.Sprint(v...)) }

func (l raftLog) Errorf(s string, v ...any) { l.log.Debug("raft", "says", fmt.Sprintf(s, v...)) }

func (l raftLog) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

func (l raftLog) Fatalf(s string, v ...any) { panic(fmt.Sprintf(s, v...)) }

func (l raftLog) Panic(v ...any) { panic(fmt.Sprint(v...)) }

func (l raftLog) Panicf(s string, v ...any) { panic(fmt.Sprintf(s, v...)) }
