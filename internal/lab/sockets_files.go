package lab

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"tealtiller/internal/placement"
)

// Names of the files in the folder of an experiment on sockets.
const (
	operatorFile = "operator.hcl"
	planFile     = "plan.json"
)

// writeFiles writes the operator's file, if the experiment has one, and the placement plan.
func (s *SocketLab) writeFiles() error {
	if s.exp.Operator != "" {
		if err := s.writeOperatorFile(); err != nil {
			return err
		}
	}
	if s.exp.PlacementPlan != nil || s.exp.Record {
		return s.writePlacement()
	}
	return nil
}

// writeOperatorFile reads the operator's file again before it writes it, so that relative times count from now.
func (s *SocketLab) writeOperatorFile() error {
	text, plan, err := s.exp.readOperatorFile()
	if err != nil {
		return err
	}
	s.exp.CellPlan = plan
	return s.writeFile(operatorFile, text)
}

// writePlacement writes an operator's file that names the placement plan and the files for the balancers' records.
func (s *SocketLab) writePlacement() error {
	text := ""
	if s.exp.CellPlan != nil && s.exp.Operator == "" {
		text = roomCells
	}
	text += "placement {\n"
	if s.exp.PlacementPlan != nil {
		plan, err := json.Marshal(s.exp.PlacementPlan)
		if err != nil {
			return err
		}
		if err := s.writeFile(planFile, plan); err != nil {
			return err
		}
		text += "  plan = \"" + planFile + "\"\n"
	}
	if s.exp.Record {
		text += "  record = \"record-{name}.jsonl\"\n  record_every = \"1s\"\n"
	}
	return s.writeFile(operatorFile, []byte(text+"}\n"))
}

func (s *SocketLab) writeFile(name string, text []byte) error {
	return os.WriteFile(filepath.Join(s.folder, name), text, 0o600)
}

// GatherRecords builds a fleet from the balancers' records.
func (s *SocketLab) GatherRecords() (*placement.Fleet, error) {
	g := placement.NewFleetBuilder(placement.DefaultClassLoads(), placement.DefaultPrices().PerHostOverhead, time.Second)
	for _, n := range s.balancers {
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
