# As failover.hcl, on 300 balancers and 24 desk hosts at 300 OPENs a second: each balancer sees about one OPEN a
# second of its own, so what it learns alone comes slowly. `make prove-failover` plays both.
duration  = "30s"
settle    = "6s"
pause     = "400ms"
balancers = 300
hosts     = 24
per_core  = 600
opens     = 300
life      = "12s"
skew      = 0.5

fault "dark" {
  at   = "12s"
  for  = "6s"
  part = 1
  room = "llandaff"
}
