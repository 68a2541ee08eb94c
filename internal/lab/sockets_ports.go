package lab

import (
	"fmt"
	"net"
)

// reservedPorts holds open listeners on the ports that balancers will use. A port that is closed at once may be
// assigned again to the next balancer. Two balancers then share a port (it has happened that one's listener took
// another's admin port and its clients were never answered), which would be counted as lost OPENs. All ports are
// reserved until every balancer has its own, and each is released just before its balancer binds it.
type reservedPorts map[*balancerProcess][]net.Listener

// reserve reserves a port for a balancer.
func (p reservedPorts) reserve(n *balancerProcess) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p[n] = append(p[n], l)
	return l.Addr().String(), nil
}

// release closes a balancer's reserved ports so that it can bind them.
func (p reservedPorts) release(n *balancerProcess) {
	for _, l := range p[n] {
		_ = l.Close()
	}
	delete(p, n)
}

func (p reservedPorts) releaseAll() {
	for n := range p {
		p.release(n)
	}
}

// checkDistinctAddresses returns an error if two listeners of the balancers share an address.
func checkDistinctAddresses(balancers []*balancerProcess) error {
	seen := map[string]bool{}
	for _, n := range balancers {
		for _, address := range []string{n.listen, n.admin, n.discovery} {
			if seen[address] {
				return fmt.Errorf("%s: assigned to two listeners", address)
			}
			seen[address] = true
		}
	}
	return nil
}
