package controlplane

import (
	"context"
	"fmt"
	"testing"

	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// Guards against the first call at a host being lost where all kept connections of a large group are dead.
func TestDeadConnectionsOfALargeGroupAreReplacedWithinTheCall(t *testing.T) {
	for _, n := range []int{3, 5, 6, 7, 8} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			for leader := range n {
				bubble.Run(t, func(t *testing.T) { callDeadGroup(t, n, leader) })
			}
		})
	}
}

// callDeadGroup calls n processes, of which one leads, on connections that are all dead.
func callDeadGroup(t *testing.T, n, leader int) {
	conns := &fakeConns{conns: make(map[string]*fakeConn)}
	var addresses []string
	for i := range n {
		address := fmt.Sprint("process", i)
		addresses = append(addresses, address)
		conns.conns[address] = &fakeConn{behaviour: deadFollower}
	}
	conns.conns[addresses[leader]].behaviour = dead
	s := New(Options{Connections: conns})
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	if _, err := s.callHedged(ctx, addresses, read); err != nil {
		t.Errorf("process %d of %d leads: %v", leader, n, err)
	}
}
