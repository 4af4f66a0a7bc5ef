package fleet

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// CPUTime returns the processor time that the process has used, in user and
// system mode. It returns a *LaunchError if the process has ended.
func (p *Process) CPUTime() (time.Duration, error) {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/stat")
	if err != nil {
		return 0, &LaunchError{Process: p.name, Err: err}
	}
	// The command name may contain spaces; it ends with the last parenthesis.
	// Of the fields after it, 11 is utime and 12 stime.
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, &LaunchError{Process: p.name, Err: err}
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	if err != nil {
		return 0, &LaunchError{Process: p.name, Err: err}
	}
	return time.Duration(user+system) * clockTick, nil
}
