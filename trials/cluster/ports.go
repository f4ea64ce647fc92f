package cluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// The ports lie below the range that the kernel gives to outgoing connections, so that
// none of those takes a port before its process listens on it.
const (
	firstPort = 15000
	lastPort  = 31000
	portTries = 200
)

// portSet is the set of ports that this process has handed out.
type portSet struct {
	mu   sync.Mutex
	used map[int]bool
}

var reservedPorts = portSet{used: make(map[int]bool)}

// freeAddress returns a loopback address that nothing listens on and that it has not
// returned before.
func freeAddress() (string, error) {
	reservedPorts.mu.Lock()
	defer reservedPorts.mu.Unlock()
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if reservedPorts.used[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listener.Close()
		reservedPorts.used[port] = true
		return address, nil
	}
	return "", errors.New("no free port on loopback")
}
