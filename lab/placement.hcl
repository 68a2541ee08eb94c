# Benefit of a placement plan: 12 hosts of two kinds in two rooms, 4 balancers, 32 flights.
# `make prove-placement-worth` plays it without faults, with 62% of the flights in one room, with a rolling deploy and with
# a quarter of the hosts lost; each with equal weights, with those that discovery lists, and with plans made from the
# records of a preceding run.
duration  = "60s"
settle    = "10s"
pause     = "500ms"
balancers = 4
hosts     = 12
per_core  = 60
opens     = 30
life      = "18s"
flights   = 4
skew      = 0.5
