package link

import "fmt"

// Options are the TLS settings of a process's links.
type Options struct {
	Certificate string `long:"tls-certificate" env:"APRICOTSPOKE_TLS_CERTIFICATE" description:"PEM file of this process's certificate; links are in plain text when none of the three files is set"`
	Key         string `long:"tls-key" env:"APRICOTSPOKE_TLS_KEY" description:"PEM file of the certificate's key"`
	Authority   string `long:"tls-authority" env:"APRICOTSPOKE_TLS_AUTHORITY" description:"PEM file of the authority that signs the fleet's certificates"`
}

// Check validates the settings and the files. It returns nil if both are valid.
func (o Options) Check() []error {
	set := 0
	for _, file := range []string{o.Certificate, o.Key, o.Authority} {
		if file != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		return []error{fmt.Errorf("--tls-certificate, --tls-key, --tls-authority: set all three or none")}
	}
	if _, err := o.Security(); err != nil {
		return []error{fmt.Errorf("--tls-certificate, --tls-key, --tls-authority: %w", err)}
	}
	return nil
}

// Security loads the files. Without files the links are in plain text.
func (o Options) Security() (Security, error) { return LoadSecurity(TLSFiles(o)) }
