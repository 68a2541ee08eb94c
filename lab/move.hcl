# A carrier with over 300 established connections moves to another cell under load; during the move desk hosts drain and
# a balancer is restarted. `make prove-move` plays it.
duration  = "48s"
settle    = "8s"
balancers = 3
hosts     = 12
per_core  = 1200
opens     = 110
life      = "40s"
flights   = 12
operator  = "move-operator.hcl"

fault "drain" {
  at   = "25s"
  for  = "6s"
  part = 0.25
  cell = "large"
}

fault "restart" {
  at = "26s"
}
