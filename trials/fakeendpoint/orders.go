package fakeendpoint

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
)

type orderRecord struct {
	Number   uint64 `json:"number"`
	Fence    uint64 `json:"fence"`
	Kind     string `json:"kind"`
	Argument string `json:"argument"`

	Arrived time.Time `json:"arrived"` // set by the stand-in
}

type orderResult struct {
	Result string `json:"result"`
}

var errOldNumber = errors.New("the order's number is not above the highest seen")

func (e *Endpoint) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order orderRecord
	if err := readJSON(w, r, &order); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	if err := e.acceptOrder(order); err != nil {
		refuse(w, http.StatusConflict, err)
		return
	}
	e.carryOut(order)
	writeJSON(w, http.StatusOK, orderResult{Result: fmt.Sprintf("%s %s", order.Kind, order.Argument)})
}

func (e *Endpoint) acceptOrder(order orderRecord) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFencing && order.Number <= e.highestOrder {
		return errOldNumber
	}
	e.highestOrder = max(e.highestOrder, order.Number)
	order.Arrived = time.Now()
	e.orders = append(e.orders, order)
	return nil
}

// carryOut applies an order; loading draws from the weight store one at a time.
func (e *Endpoint) carryOut(order orderRecord) {
	if order.Kind != "change_role" {
		e.weights.Lock()
		time.Sleep(e.config.WeightLoadTime)
		e.weights.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch order.Kind {
	case "load_model":
		if !slices.Contains(e.models, order.Argument) {
			e.models = append(e.models, order.Argument)
		}
	case "change_role":
		e.role = order.Argument
	}
	notify(e.reboot)
}
