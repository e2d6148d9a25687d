package timekeeper

import (
	"syscall"
	"time"
	"unsafe"
)

// clockBoottime is CLOCK_BOOTTIME of Linux, the same on all architectures.
const clockBoottime = 7

// Uptime returns the time since the machine was started, including the time for which it was suspended. The clock of package
// time stands still meanwhile, so that what must end on time after a suspension is measured with Uptime.
func Uptime() time.Duration {
	var at syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&at)), 0); errno != 0 {
		return time.Since(processStart)
	}
	return time.Duration(at.Nano())
}

// processStart is the zero of Uptime on systems without the clock.
var processStart = time.Now()
