package cluster

import (
	"os/exec"
	"runtime"
	"sync"
)

// launch is a command to start; result receives the error of its start.
type launch struct {
	cmd    *exec.Cmd
	result chan error
}

// launches returns the queue of a goroutine that starts commands on an OS thread of its
// own, which never ends: the kernel sends the death signal (Pdeathsig) to a child as soon
// as the thread that started it ends, even if the process goes on.
var launches = sync.OnceValue(func() chan launch {
	queue := make(chan launch)
	go func() {
		runtime.LockOSThread()
		for next := range queue {
			next.result <- next.cmd.Start()
		}
	}()
	return queue
})

// startOnPersistentThread starts a command on a thread that lives as long as the process.
func startOnPersistentThread(cmd *exec.Cmd) error {
	result := make(chan error)
	launches() <- launch{cmd: cmd, result: result}
	return <-result
}
