package harness

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// ctlTimeout bounds one run of masticwingctl.
const ctlTimeout = 15 * time.Second

// Ctl runs masticwingctl with args and returns its output and exit code.
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
		return p.Output(), -1, errors.Errorf("%s did not exit within %v", p.Name, ctlTimeout)
	}
}

// ctlOnPlatform runs a masticwingctl command with the platform's address and
// returns an error unless the exit code is 0.
func (d *Deployment) ctlOnPlatform(ctx context.Context, command string, args ...string) error {
	out, code, err := d.Ctl(ctx, append([]string{command, "--platform", d.PlatformAddr}, args...)...)
	if err != nil {
		return err
	}
	if code != 0 {
		return errors.Errorf("masticwingctl %s: exit code %d: %s", command, code, out)
	}
	return nil
}

// Apply applies text as the declaration in force.
func (d *Deployment) Apply(ctx context.Context, text string) error {
	file, err := d.WriteFile("declaration.ini", text)
	if err != nil {
		return err
	}
	return d.ctlOnPlatform(ctx, "apply", file)
}

// Cordon takes a failure domain out of service.
func (d *Deployment) Cordon(ctx context.Context, domain string) error {
	return d.ctlOnPlatform(ctx, "cordon", "domain", domain)
}

// Uncordon returns a failure domain to service.
func (d *Deployment) Uncordon(ctx context.Context, domain string) error {
	return d.ctlOnPlatform(ctx, "uncordon", "domain", domain)
}

// Publish makes the origin offer the version of the spec's model that is
// generated from the seed, and returns its digest. Publishing a version again
// has no effect.
func (d *Deployment) Publish(ctx context.Context, seed int) (string, error) {
	o := d.Spec.Origin
	body := map[string]any{"model": o.Model, "size": o.Size, "chunk": o.Chunk, "seed": seed}
	var resp struct{ Version string }
	if err := CallJSON(ctx, http.MethodPost, "http://"+d.OriginAddr+"/versions", body, &resp); err != nil {
		return "", err
	}
	if resp.Version == "" {
		return "", errors.New("the origin's response has no version")
	}
	return resp.Version, nil
}

// OriginBytes returns the number of bytes that the origin has sent.
func (d *Deployment) OriginBytes(ctx context.Context) (int64, error) {
	var counts struct{ Bytes map[string]int64 }
	if err := CallJSON(ctx, http.MethodGet, "http://"+d.OriginAddr+"/counts", nil, &counts); err != nil {
		return 0, err
	}
	return counts.Bytes["chunk"] + counts.Bytes["manifest"], nil
}

// AgentStatus is the part of an agent's /status that the harness reads.
type AgentStatus struct {
	VM       string
	Version  string
	Revision uint64
	Ready    bool
	Cordoned bool
}

// WaitAgents waits until ok returns true for the status of each of the agents.
// what describes the condition in the error.
func (d *Deployment) WaitAgents(
	ctx context.Context, timeout time.Duration, what string, agents []*Node, ok func(AgentStatus) bool,
) error {
	return WaitFor(ctx, timeout, what, func() error {
		for _, n := range agents {
			var s AgentStatus
			if err := GetStatus(ctx, n.Admin, &s); err != nil {
				return errors.Wrap(err, n.Name)
			}
			if !ok(s) {
				return errors.Errorf("%s: %+v", n.Name, s)
			}
		}
		return nil
	})
}

// WaitVersion waits until all agents with an engine serve the version.
func (d *Deployment) WaitVersion(ctx context.Context, timeout time.Duration, version string) error {
	return d.WaitAgents(ctx, timeout, "version "+version, d.EngineAgents(), func(s AgentStatus) bool {
		return s.Version == version
	})
}

// EngineAgents returns the agents with an engine.
func (d *Deployment) EngineAgents() []*Node {
	var out []*Node
	for _, n := range d.Agents {
		if n.Service == "" {
			out = append(out, n)
		}
	}
	return out
}
