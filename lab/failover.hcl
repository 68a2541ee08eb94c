# Balancers in two rooms. The room "llandaff" goes dark for 6 s: its hosts accept what arrives and answer nothing, while
# discovery still lists them; they come back cold. `make prove-failover` plays it.
duration  = "30s"
settle    = "6s"
pause     = "400ms"
balancers = 30
hosts     = 16
per_core  = 600
opens     = 120
life      = "12s"
skew      = 0.5

fault "dark" {
  at   = "12s"
  for  = "6s"
  part = 1
  room = "llandaff"
}

# A tenth of the balancers freeze when the room goes dark, and continue 5 s later with their outdated state.
fault "freeze" {
  at   = "12s"
  for  = "5s"
  part = 0.1
}
