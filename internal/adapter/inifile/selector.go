package inifile

import (
	"strings"

	"github.com/pkg/errors"
	"k8s.io/apimachinery/pkg/labels"
	"k8s.io/apimachinery/pkg/selection"

	"github.com/masticwing/masticwing/internal/core/declare"
)

// parseSelector parses a selector in the syntax of Kubernetes label selectors. It
// rejects an empty selector, which would match everything.
func parseSelector(v string) (declare.Selector, error) {
	sel, err := labels.Parse(v)
	if err != nil {
		return nil, errors.Wrap(err, "must be a label selector")
	}
	reqs, _ := sel.Requirements()
	if len(reqs) == 0 {
		return nil, errors.New("must be a label selector that is not empty")
	}
	out := make(declare.Selector, 0, len(reqs))
	for _, r := range reqs {
		op, err := convertOperator(r.Operator())
		if err != nil {
			return nil, err
		}
		q := declare.Requirement{Key: r.Key(), Op: op}
		if op == declare.In || op == declare.NotIn {
			q.Values = r.Values().List()
		}
		out = append(out, q)
	}
	return out, nil
}

func convertOperator(o selection.Operator) (declare.Op, error) {
	switch o {
	case selection.In, selection.Equals, selection.DoubleEquals:
		return declare.In, nil
	case selection.NotIn, selection.NotEquals:
		return declare.NotIn, nil
	case selection.Exists:
		return declare.Exists, nil
	case selection.DoesNotExist:
		return declare.NotExists, nil
	default:
		return 0, errors.Errorf("selector operator %q is not supported", o)
	}
}

// parseLabels parses labels of the form "key=value,...".
func parseLabels(v string) (declare.Labels, error) {
	set, err := labels.ConvertSelectorToLabelsMap(v)
	if err != nil {
		return nil, errors.Wrap(err, "must be key=value, separated by commas")
	}
	out := make(declare.Labels, len(set))
	for k, x := range set {
		switch k {
		case declare.LabelVM, declare.LabelDomain, declare.LabelRegion, declare.LabelName:
			return nil, errors.Errorf("label %q is set by the system", k)
		}
		out[k] = x
	}
	if len(out) != len(strings.Split(v, ",")) && v != "" {
		return nil, errors.New("a label is set twice")
	}
	return out, nil
}
