// Package loopback reserves TCP ports on loopback for processes that a test starts later.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// The ports lie below the range that the kernel gives to outgoing connections, so that
// none of those takes a port before its process listens on it.
const (
	firstPort = 15000
	lastPort  = 31000
	portTries = 200
)

// lockHost is an address of loopback on which no test listens otherwise. A listener there
// reserves its port for this process, also against other processes that reserve ports.
const lockHost = "127.255.255.254"

// held are the listeners that reserve ports. They are kept so that the garbage collector
// does not close them.
var held struct {
	mu    sync.Mutex
	locks []net.Listener
}

// ReserveAddress reserves a port until this process ends, and returns an address with it on
// a host of its own, where no client of a process that had the port before calls.
func ReserveAddress() (string, error) {
	port, err := ReservePorts(1)
	return net.JoinHostPort(UnusedHost(), strconv.Itoa(port)), err
}

// ReservePorts reserves consecutive ports until this process ends. Nothing listens on
// them on any address of this machine. It returns the first one.
func ReservePorts(count int) (first int, err error) {
	for range portTries {
		first = firstPort + rand.IntN(lastPort-firstPort-count)
		if reserve(first, count) {
			return first, nil
		}
	}
	return 0, errors.New("no free ports on loopback: end other processes that use them")
}

// reserve reserves consecutive ports. It returns false, and reserves none, if one is taken.
func reserve(first, count int) bool {
	var locks []net.Listener
	for port := first; port < first+count; port++ {
		lock, err := lockPort(port)
		if err != nil {
			release(locks)
			return false
		}
		locks = append(locks, lock)
	}
	held.mu.Lock()
	defer held.mu.Unlock()
	held.locks = append(held.locks, locks...)
	return true
}

// lockPort returns the listener that reserves a port on which nothing listens.
func lockPort(port int) (net.Listener, error) {
	onAnyAddress, err := net.Listen("tcp4", fmt.Sprintf(":%d", port))
	if err != nil {
		return nil, err
	}
	if err := onAnyAddress.Close(); err != nil {
		return nil, err
	}
	return net.Listen("tcp4", fmt.Sprintf("%s:%d", lockHost, port))
}

func release(locks []net.Listener) {
	for _, lock := range locks {
		_ = lock.Close() // nothing was accepted, and the port stays unused
	}
}
