package replica

import (
	"fmt"

	"google.golang.org/protobuf/proto"
)

// raftLogger is the logger of the raft library. Fatal panics instead of exiting; guard recovers the panic and
// halts only the group.
type raftLogger struct{}

func (raftLogger) Debug(...any)                   {}
func (raftLogger) Debugf(string, ...any)          {}
func (raftLogger) Error(...any)                   {}
func (raftLogger) Errorf(string, ...any)          {}
func (raftLogger) Info(...any)                    {}
func (raftLogger) Infof(string, ...any)           {}
func (raftLogger) Warning(...any)                 {}
func (raftLogger) Warningf(string, ...any)        {}
func (raftLogger) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (raftLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (raftLogger) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (raftLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

func unmarshal(data []byte, m proto.Message) error { return proto.Unmarshal(data, m) }
