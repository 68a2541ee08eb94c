package lab

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"github.com/hashicorp/hcl/v2/hclsimple"

	"tealtiller/internal/cells"
	"tealtiller/internal/operator"
)

var faultKinds = map[string]bool{"crash": true, "errors": true, "hot-key": true, "heavy": true, "deploy": true, "discovery": true,
	"drop": true, "drain": true, "restart": true, "dark": true, "freeze": true, "one-way": true}

// Load reads an experiment and the operator's file that it names.
func Load(path string) (*Experiment, error) {
	e := &Experiment{PerCore: 12, Flights: 6, Settle: "5s", Pause: "2s", Dir: filepath.Dir(path)}
	if err := hclsimple.DecodeFile(path, nil, e); err != nil {
		return nil, err
	}
	if e.Cells > 0 {
		e.CellPlan = e.equalCells()
	}
	if e.Operator != "" {
		_, plan, err := e.readOperatorFile()
		if err != nil {
			return nil, err
		}
		e.CellPlan = plan
	}
	return e, e.validate()
}

var relativeTime = regexp.MustCompile(`NOW\+[0-9a-z.]+`)

// readOperatorFile reads the operator's file of an experiment; NOW+30s in it is replaced by the time 30 s from now.
func (e *Experiment) readOperatorFile() ([]byte, *cells.Plan, error) {
	path, now := filepath.Join(e.Dir, e.Operator), time.Now()
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	text = relativeTime.ReplaceAllFunc(text, func(m []byte) []byte {
		return []byte(now.Add(parsedDuration(string(m[len("NOW+"):]))).UTC().Format(time.RFC3339Nano))
	})
	file, err := operator.Parse(text, path)
	if err != nil {
		return nil, nil, err
	}
	return text, file.Cells, nil
}

func (e *Experiment) validate() error {
	durations := []string{e.Duration, e.Life, e.Settle, e.Pause}
	for _, f := range e.Faults {
		if !faultKinds[f.Kind] {
			return fmt.Errorf("fault %q: unknown kind", f.Kind)
		}
		if durations = append(durations, f.At); f.For != "" {
			durations = append(durations, f.For)
		}
	}
	for _, text := range durations {
		if d, err := time.ParseDuration(text); err != nil || d < 0 {
			return fmt.Errorf("%q: not a non-negative duration", text)
		}
	}
	if !(e.Skew >= 0 && e.Skew <= 1) || e.Weights != "" && e.Weights != "told" && e.Weights != "equal" {
		return errors.New("skew must be from 0 to 1, and weights \"told\" or \"equal\"")
	}
	if e.Hosts < 1 || e.Balancers < 1 || !(e.Opens > 0) || e.Flights < 1 {
		return errors.New("hosts, balancers, opens and flights must be above 0")
	}
	return nil
}

// CheckVirtual returns an error if the experiment cannot be played in virtual time, which has no processes to stop and
// no discovery to take down.
func (e *Experiment) CheckVirtual() error {
	for _, f := range e.Faults {
		if f.Kind == "restart" || f.Kind == "discovery" || f.Kind == "dark" || f.Kind == "freeze" || f.Kind == "one-way" {
			return fmt.Errorf("fault %q can be played on sockets only", f.Kind)
		}
	}
	return nil
}

// parsedDuration parses a duration that validate has checked.
func parsedDuration(text string) time.Duration {
	d, _ := time.ParseDuration(text)
	return d
}
