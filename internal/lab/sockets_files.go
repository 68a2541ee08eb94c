package lab

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"tealtiller/internal/placement"
)

// The files of an experiment on sockets, in its folder.
const (
	operatorFile = "operator.hcl"
	planFile     = "plan.json"
)

// writeFiles writes the operator's file, where the experiment has one, and the plan of placement.
func (s *Sockets) writeFiles() error {
	if s.exp.Operator != "" {
		if err := s.writeOperatorFile(); err != nil {
			return err
		}
	}
	if s.exp.Placed != nil || s.exp.Record {
		return s.writePlacement()
	}
	return nil
}

// writeOperatorFile writes it anew: its moments count from here.
func (s *Sockets) writeOperatorFile() error {
	text, plan, err := s.exp.operatorFile()
	if err != nil {
		return err
	}
	s.exp.Plan = plan
	return s.write(operatorFile, text)
}

// writePlacement has the balancers told of the plan and of where their records go.
func (s *Sockets) writePlacement() error {
	text := ""
	if s.exp.Plan != nil && s.exp.Operator == "" {
		text = roomCells
	}
	text += "placement {\n"
	if s.exp.Placed != nil {
		plan, err := json.Marshal(s.exp.Placed)
		if err != nil {
			return err
		}
		if err := s.write(planFile, plan); err != nil {
			return err
		}
		text += "  plan = \"" + planFile + "\"\n"
	}
	if s.exp.Record {
		text += "  record = \"record-{name}.jsonl\"\n  record_every = \"1s\"\n"
	}
	return s.write(operatorFile, []byte(text+"}\n"))
}

func (s *Sockets) write(name string, text []byte) error {
	return os.WriteFile(filepath.Join(s.folder, name), text, 0o600)
}

// Gather makes a fleet of what the balancers recorded.
func (s *Sockets) Gather() (*placement.Fleet, error) {
	g := placement.NewFleetBuilder(placement.DefaultClassLoads(), placement.DefaultPrices().PerHostOverhead, time.Second)
	for _, n := range s.nodes {
		f, err := os.Open(filepath.Join(s.folder, "record-"+n.name+".jsonl"))
		if err != nil {
			return nil, err
		}
		err = g.Read(f)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
	}
	return g.Fleet(placement.DefaultPrices())
}
