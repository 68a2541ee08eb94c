package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// cases are the cases by name; each reports whether the rule held.
var cases = map[string]func() bool{}

// The processes end with the thread that started them, so all are started by this one.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cannotRun("usage: standin CASE FOLDER, from the root of the repository")
	}
	folder, trouble = os.Args[2], os.Getenv("TROUBLE") != "0"
	rec = newRecord(folder)
	var err error
	if temp, err = os.MkdirTemp("", "review"); err != nil {
		cannotRun("%v", err)
	}
	rec.add("trouble: %v", trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
			cannotRun("told to stop")
		case <-time.After(110 * time.Second):
			cannotRun("it took over 110 s")
		}
	}()
	held := cases[os.Args[1]]()
	cleanUp()
	if held {
		fmt.Println("the rule held")
		return
	}
	fmt.Println("the rule was broken")
	os.Exit(1)
}
