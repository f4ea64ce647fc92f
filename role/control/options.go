package control

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Options are the settings of the control role, used by every program that can
// host it.
type Options struct {
	DataFolder      string `long:"data-folder" env:"APRICOTSPOKE_DATA_FOLDER" description:"Folder on a disk for the control state, used by one replica only"`
	OperatorKeyHash string `long:"operator-key-hash" env:"APRICOTSPOKE_OPERATOR_KEY_HASH" description:"SHA-256 of the operators' key, 64 hexadecimal digits"`
	Bootstrap       bool   `long:"bootstrap" env:"APRICOTSPOKE_BOOTSTRAP" description:"Create the control group once every address of --control answers that it belongs to none"`
}

// Enabled reports whether the process hosts the control role.
func (o *Options) Enabled() bool { return o.DataFolder != "" }

// Check returns all errors in the settings. They are valid without a data folder.
func (o *Options) Check() []error {
	if !o.Enabled() {
		return nil
	}
	if _, err := o.operatorKeyHash(); err != nil {
		return []error{err}
	}
	return nil
}

func (o *Options) operatorKeyHash() ([sha256.Size]byte, error) {
	hash, err := hex.DecodeString(o.OperatorKeyHash)
	if err != nil || len(hash) != sha256.Size {
		return [sha256.Size]byte{}, fmt.Errorf("--operator-key-hash: must be 64 hexadecimal digits; compute them with apricotspokectl key hash")
	}
	return [sha256.Size]byte(hash), nil
}
