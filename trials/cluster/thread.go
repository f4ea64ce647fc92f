package cluster

import (
	"os/exec"
	"runtime"
	"sync"
)

type launch struct {
	cmd    *exec.Cmd
	result chan error
}

// launches are served by one thread that never ends: the kernel sends the death
// signal of a child when the thread that started it ends.
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

func startOnLivingThread(cmd *exec.Cmd) error {
	result := make(chan error)
	launches() <- launch{cmd: cmd, result: result}
	return <-result
}
