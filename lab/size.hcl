# A large fleet in virtual time: 1,000 desk hosts, 20 balancers, 40 cells of one carrier each. `make prove-size` plays it
# once for each kind of fault, with cells and without; the faults are defined in the proof.
duration  = "40s"
balancers = 20
hosts     = 1000
per_core  = 150
opens     = 4200
life      = "15s"
flights   = 10
carriers  = 40
cells     = 40
