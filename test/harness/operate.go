package harness

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// ctlTimeout bounds one run of masticwingctl.
const ctlTimeout = 15 * time.Second

// Ctl runs masticwingctl and returns its output and exit code.
func (h *Harness) Ctl(ctx context.Context, args ...string) (string, int, error) {
	p, err := h.Start("masticwingctl "+args[0], "masticwingctl", args...)
	if err != nil {
		return "", -1, err
	}
	ctx, cancel := context.WithTimeout(ctx, ctlTimeout)
	defer cancel()
	select {
	case <-p.Done():
		return p.Output(), p.ExitCode(), nil
	case <-ctx.Done():
		_ = p.Kill()
		return p.Output(), -1, errors.Errorf("%s did not end within %v", p.Name, ctlTimeout)
	}
}

// ctl runs masticwingctl against the platform and returns an error unless the
// exit code is 0.
func (d *Deployment) ctl(ctx context.Context, command string, args ...string) error {
	out, code, err := d.Ctl(ctx, append([]string{command, "--platform", d.PlatformAddr}, args...)...)
	if err != nil {
		return err
	}
	if code != 0 {
		return errors.Errorf("masticwingctl %s: exit code %d: %s", command, code, out)
	}
	return nil
}

// Apply declares text.
func (d *Deployment) Apply(ctx context.Context, text string) error {
	file, err := d.WriteFile("declaration.ini", text)
	if err != nil {
		return err
	}
	return d.ctl(ctx, "apply", file)
}

// Cordon takes a failure domain out of service.
func (d *Deployment) Cordon(ctx context.Context, domain string) error {
	return d.ctl(ctx, "cordon", "domain", domain)
}

// Uncordon returns a failure domain to service.
func (d *Deployment) Uncordon(ctx context.Context, domain string) error {
	return d.ctl(ctx, "uncordon", "domain", domain)
}

// Publish makes the origin offer the version of the spec's model that the seed
// generates, and returns its digest. The origin may offer it already.
func (d *Deployment) Publish(ctx context.Context, seed int) (string, error) {
	o := d.Spec.Origin
	in := map[string]any{"model": o.Model, "size": o.Size, "chunk": o.Chunk, "seed": seed}
	var out struct{ Version string }
	if err := CallJSON(ctx, http.MethodPost, "http://"+d.OriginAddr+"/versions", in, &out); err != nil {
		return "", err
	}
	if out.Version == "" {
		return "", errors.New("the origin named no version")
	}
	return out.Version, nil
}

// OriginBytes returns the bytes that the origin has sent.
func (d *Deployment) OriginBytes(ctx context.Context) (int64, error) {
	var c struct{ Bytes map[string]int64 }
	if err := CallJSON(ctx, http.MethodGet, "http://"+d.OriginAddr+"/counts", nil, &c); err != nil {
		return 0, err
	}
	return c.Bytes["chunk"] + c.Bytes["manifest"], nil
}

// AgentStatus is the part of an agent's /status that the harness reads.
type AgentStatus struct {
	VM       string
	Version  string
	Revision uint64
	Ready    bool
	Cordoned bool
}

// WaitAgents waits until ok returns true for the status of each agent given.
func (d *Deployment) WaitAgents(
	ctx context.Context, timeout time.Duration, what string, agents []*Node, ok func(AgentStatus) bool,
) error {
	return WaitFor(ctx, timeout, what, func() error {
		for _, n := range agents {
			var s AgentStatus
			if err := Status(ctx, n.Admin, &s); err != nil {
				return errors.Wrap(err, n.Name)
			}
			if !ok(s) {
				return errors.Errorf("%s: %+v", n.Name, s)
			}
		}
		return nil
	})
}

// WaitVersion waits until every agent with an engine serves the version.
func (d *Deployment) WaitVersion(ctx context.Context, timeout time.Duration, version string) error {
	return d.WaitAgents(ctx, timeout, "version "+version, d.Engines(), func(s AgentStatus) bool {
		return s.Version == version
	})
}

// Engines returns the agents with an engine.
func (d *Deployment) Engines() []*Node {
	var out []*Node
	for _, n := range d.Agents {
		if n.Service == "" {
			out = append(out, n)
		}
	}
	return out
}
