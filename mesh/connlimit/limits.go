package connlimit

// This file derives the limits of each port from the memory and the descriptors of the
// machine.

// Port is a port of a node.
type Port int

// Ports of a node.
const (
	PortCaller   Port = iota // callers
	PortHop                  // calls of other nodes
	PortPeer                 // control messages of other nodes
	PortBackend              // announcements of the backend server
	PortOperator             // operators
	PortReady                // readiness checks
	Ports                    // number of ports
)

// String returns the name of the port in settings, metrics and log lines.
func (p Port) String() string {
	return [...]string{"caller", "hop", "peer", "backend", "operator", "ready"}[p]
}

// Resources are the resources of a process. Zero means not known.
type Resources struct {
	Memory      int64 // bytes
	Descriptors int
	Files       int // descriptors that are left to files
}

// Limits are amounts of what connections take. Zero means no limit.
type Limits struct {
	Memory int64 // bytes
	Conns  int
}

// Shares of the resources, in percent.
const (
	// connMemoryPercent is the memory that connections may take by the account. The rest is
	// for the tables, for the code, and for garbage, of which there is about as much as
	// memory in use.
	connMemoryPercent = 38
	// commonPercent is the part of what connections may take that any port may take
	// beyond its own part.
	commonPercent = 40
	// connPercent is the part of the descriptors that accepted connections may take. The
	// rest is for connections that the node opens: to 300 nodes, to the store and to the
	// backend server.
	connPercent = 85
)

// ownPercent is each port's own part, in percent. No other port takes it.
var ownPercent = [Ports]int{PortCaller: 25, PortHop: 17, PortPeer: 12, PortBackend: 2, PortOperator: 2, PortReady: 2}

// NewAccounts returns the accounts of all ports.
func NewAccounts(r Resources) *[Ports]*Account {
	total := Limits{Memory: r.Memory * connMemoryPercent / 100}
	if r.Descriptors > r.Files {
		total.Conns = max(int(Ports), (r.Descriptors-r.Files)*connPercent/100)
	}
	accounts := &[Ports]*Account{}
	common := Limits{Memory: total.Memory * commonPercent / 100, Conns: total.Conns * commonPercent / 100}
	for port, percent := range ownPercent {
		own := Limits{Memory: total.Memory * int64(percent) / 100, Conns: total.Conns * percent / 100}
		if total.Conns > 0 {
			own.Conns = max(1, own.Conns)
		}
		accounts[port] = NewAccount(own, common)
		accounts[port].siblings = accounts
		if Port(port) == PortHop || Port(port) == PortPeer {
			accounts[port].nodes, accounts[port].resets = true, bucket{rate: nodeResetRate, burst: nodeResetRate}
		}
	}
	return accounts
}
