package cluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports below the range that the kernel gives to outgoing connections.
const (
	firstPort = 15000
	lastPort  = 31000
	portTries = 200
)

// ports remembers what this process has handed out.
type ports struct {
	mu   sync.Mutex
	used map[int]bool
}

var handedOut = ports{used: make(map[int]bool)}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	handedOut.mu.Lock()
	defer handedOut.mu.Unlock()
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if handedOut.used[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listener.Close()
		handedOut.used[port] = true
		return address, nil
	}
	return "", errors.New("no free port on loopback")
}
