package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// casInput is a compare-and-set of one data centre, or a read of its version.
type casInput struct {
	name     string
	read     bool
	expected uint64
}

type casOutput struct {
	version  uint64 // that was read, or that the change set
	conflict bool
}

// casModel is a register with compare-and-set; its value is the object's version.
var casModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[string][]porcupine.Operation)
		for _, operation := range history {
			name := operation.Input.(casInput).name
			parts[name] = append(parts[name], operation)
		}
		var list [][]porcupine.Operation
		for _, part := range parts {
			list = append(list, part)
		}
		return list
	},
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		version, in, out := state.(uint64), input.(casInput), output.(casOutput)
		switch {
		case in.read:
			return out.version == version, version
		case out.conflict:
			return in.expected != version, version
		}
		return in.expected == version && out.version > version, out.version
	},
}

// concurrentOperator changes data centres through any replica. It resends a change
// that got no answer through another replica, under the same operation id.
type concurrentOperator struct {
	cluster *cluster
	id      int
	random  *rand.Rand
	start   time.Time
	history []porcupine.Operation
}

// retry calls random replicas until one gives a definite answer.
func (r *concurrentOperator) retry(call func(ctx context.Context, client wire.OperatorClient) error) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		if r.random.IntN(4) == 0 { // loses the call or its answer
			time.AfterFunc(time.Duration(r.random.IntN(4000))*time.Microsecond, cancel)
		}
		err := call(ctx, r.cluster.operator(r.random.IntN(3)))
		cancel()
		if err == nil {
			return
		}
		time.Sleep(time.Duration(1+r.random.IntN(20)) * time.Millisecond)
	}
}

func (r *concurrentOperator) record(in casInput, call func(ctx context.Context, client wire.OperatorClient) (casOutput, error)) casOutput {
	operation := porcupine.Operation{ClientId: r.id, Input: in, Call: time.Since(r.start).Nanoseconds()}
	r.retry(func(ctx context.Context, client wire.OperatorClient) error {
		out, err := call(ctx, client)
		operation.Output = out
		return err
	})
	operation.Return = time.Since(r.start).Nanoseconds()
	r.history = append(r.history, operation)
	return operation.Output.(casOutput)
}

func (r *concurrentOperator) read(name string) uint64 {
	return r.record(casInput{name: name, read: true}, func(ctx context.Context, client wire.OperatorClient) (casOutput, error) {
		response, err := client.Read(ctx, &wire.ReadRequest{OperatorKey: operatorKey})
		for _, d := range response.GetConfig().GetDataCentres() {
			if d.Name == name {
				return casOutput{version: d.Version}, err
			}
		}
		return casOutput{}, err
	}).version
}

func (r *concurrentOperator) change(name string, expected uint64, id string) {
	r.record(casInput{name: name, expected: expected}, func(ctx context.Context, client wire.OperatorClient) (casOutput, error) {
		response, err := client.Apply(ctx, &wire.ApplyRequest{OperationId: id, OperatorKey: operatorKey, Change: &wire.Change{
			ExpectedVersion: expected,
			Of:              &wire.Change_SetDataCentre{SetDataCentre: &wire.DataCentre{Name: name, Out: expected%2 == 0}},
		}})
		if err != nil {
			return casOutput{}, err
		}
		if failure := fault.FromWire(response.Failure); failure != nil {
			if fault.KindOf(failure) != fault.Conflict {
				return casOutput{}, failure
			}
			return casOutput{conflict: true}, nil
		}
		return casOutput{version: response.Revision}, nil
	})
}

// Operators change the same objects at once and resend through other replicas, while
// replicas restart. The history is linearizable.
func TestConcurrentOperatorsAreLinearizable(t *testing.T) {
	c := startCluster(t)
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	operators := make([]*concurrentOperator, 6)
	start := time.Now()
	var wait sync.WaitGroup
	for i := range operators {
		operators[i] = &concurrentOperator{cluster: c, id: i, random: rand.New(rand.NewPCG(seed, uint64(i))), start: start}
		wait.Go(func() {
			for n := range 60 {
				name := fmt.Sprint("dc", operators[i].random.IntN(2))
				operators[i].change(name, operators[i].read(name), fmt.Sprintf("operator %d change %d", i, n))
			}
		})
	}
	restarts := rand.New(rand.NewPCG(seed, 99))
	done := make(chan struct{})
	go func() { wait.Wait(); close(done) }()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(300 * time.Millisecond):
			i := restarts.IntN(3)
			c.nodes[i].stop()
			c.start(i)
		}
	}
	var history []porcupine.Operation
	succeeded := 0
	for _, r := range operators {
		history = append(history, r.history...)
		for _, operation := range r.history {
			if out := operation.Output.(casOutput); !operation.Input.(casInput).read && !out.conflict {
				succeeded++
			}
		}
	}
	t.Logf("%d operations, %d changes succeeded", len(history), succeeded)
	if succeeded == 0 {
		t.Fatal("no change succeeded")
	}
	if !porcupine.CheckOperations(casModel, history) {
		t.Fatal("the history is not linearizable")
	}
}
