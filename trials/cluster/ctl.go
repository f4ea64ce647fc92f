package cluster

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const ctlTimeout = 15 * time.Second

// Ctl runs apricotspokectl as an operator and returns its output.
func (c *Cluster) Ctl(ctx context.Context, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, ctlTimeout)
	defer cancel()
	flags := repeated("--control", c.controlTargets())
	cmd := exec.CommandContext(ctx, filepath.Join(Bin(), "apricotspokectl"), append(flags, args...)...)
	cmd.Env = append(os.Environ(), "APRICOTSPOKE_OPERATOR_KEY="+c.operatorKey)
	var out, failure bytes.Buffer
	cmd.Stdout = &out
	cmd.Stderr = &failure
	if err := cmd.Run(); err != nil {
		return out.String(), fmt.Errorf("apricotspokectl %s: %w: %s", strings.Join(args, " "), err, failure.String())
	}
	return out.String(), nil
}

// KeyHash is the hash of a bearer key as contracts hold it.
func KeyHash(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}

// PutContract puts a contract in.
func (c *Cluster) PutContract(ctx context.Context, contract Contract) error {
	text, err := contract.file()
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

// TakeOut takes a data centre out of service.
func (c *Cluster) TakeOut(ctx context.Context, dataCentre string) error {
	_, err := c.Ctl(ctx, "data-centre", "out", dataCentre)
	return err
}

// TakeIn brings a data centre back.
func (c *Cluster) TakeIn(ctx context.Context, dataCentre string) error {
	_, err := c.Ctl(ctx, "data-centre", "in", dataCentre)
	return err
}
