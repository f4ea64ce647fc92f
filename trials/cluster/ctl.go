package cluster

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const ctlTimeout = 15 * time.Second

// Ctl runs apricotspokectl with the operator key, against all control replicas, and
// returns its output.
func (c *Cluster) Ctl(ctx context.Context, args ...string) (string, error) {
	return c.ctl(ctx, c.controlTargets(), args)
}

// CtlThrough runs apricotspokectl against one control replica only, given by its index.
func (c *Cluster) CtlThrough(ctx context.Context, control int, args ...string) (string, error) {
	return c.ctl(ctx, c.controlTargets()[control:control+1], args)
}

func (c *Cluster) ctl(ctx context.Context, replicas []target, args []string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, ctlTimeout)
	defer cancel()
	flags := repeatFlag("--control", replicas)
	cmd := exec.CommandContext(ctx, filepath.Join(Bin(), "apricotspokectl"), append(flags, args...)...)
	credentials, err := c.options.Authority.environment("operator")
	if err != nil {
		return "", err
	}
	cmd.Env = append(os.Environ(), "APRICOTSPOKE_OPERATOR_KEY="+c.operatorKey)
	cmd.Env = append(cmd.Env, credentials...)
	var out, failure bytes.Buffer
	cmd.Stdout = &out
	cmd.Stderr = &failure
	if err := cmd.Run(); err != nil {
		return out.String(), fmt.Errorf("apricotspokectl %s: %w: %s", strings.Join(args, " "), err, failure.String())
	}
	return out.String(), nil
}

// KeyHash returns the SHA-256 hash of a bearer key in hex, as contracts hold it.
func KeyHash(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}

// PutContract writes a contract to a file and stores it with apricotspokectl.
func (c *Cluster) PutContract(ctx context.Context, contract Contract) error {
	text, err := contract.marshal()
	if err != nil {
		return err
	}
	path := filepath.Join(c.options.Folder, contract.Organisation+".yaml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	_, err = c.Ctl(ctx, "contract", "put", path)
	return err
}

// TakeOutOfService takes a data centre out of service.
func (c *Cluster) TakeOutOfService(ctx context.Context, dataCentre string) error {
	_, err := c.Ctl(ctx, "data-centre", "out", dataCentre)
	return err
}

// ReturnToService brings a data centre back into service.
func (c *Cluster) ReturnToService(ctx context.Context, dataCentre string) error {
	_, err := c.Ctl(ctx, "data-centre", "in", dataCentre)
	return err
}

// Member is a control replica as the control group lists it.
type Member struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Learner bool   `json:"learner"`
	Removed bool   `json:"removed"`
}

type memberList struct {
	Members []Member `json:"members"`
}

// Voters lists the control replicas that vote.
func (c *Cluster) Voters(ctx context.Context) ([]Member, error) {
	out, err := c.Ctl(ctx, "--output=json", "member", "list")
	if err != nil {
		return nil, err
	}
	var list memberList
	if err := json.Unmarshal([]byte(out), &list); err != nil {
		return nil, err
	}
	return slices.DeleteFunc(list.Members, func(m Member) bool { return m.Learner || m.Removed }), nil
}

// AwaitVoter waits until a replica with another ID than the old one votes at an address.
func (c *Cluster) AwaitVoter(ctx context.Context, address, oldID string, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return Poll(ctx, func(ctx context.Context) error {
		voters, err := c.Voters(ctx)
		if err != nil {
			return err
		}
		if !slices.ContainsFunc(voters, func(m Member) bool { return m.Address == address && m.ID != oldID }) {
			return fmt.Errorf("no new replica votes at %s", address)
		}
		return nil
	})
}
