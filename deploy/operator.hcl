# The operator's own file: what the platform's configuration does not know. It is in force only where the balancer is
# told of it (--operator, or EDGE_OPERATOR); here it stands as an example, and `bin/tealtiller check` accepts it.
# docs/cells.md explains every line.

# failover {                # docs/failover.md: zone shares, as yet only told in the log
#   swing = 0.25
# }

# placement {                # docs/placement.md
#   plan   = "plan.json"     # made by bin/tealtiller plan
#   record = "seen-{name}.jsonl"
# }

cells {
  default = "general" # whoever is named in no cell

  cell "general" {
    share  = 0.4
    guests = 40 # takes at most so many connections of other cells at a time
  }

  cell "large" {
    share       = 0.35
    carriers    = ["dyfed-air", "severn-link"]
    connections = 600
    overflow_to = "general"
  }

  cell "small" {
    share            = 0.25
    carriers         = ["teifi-flyer", "brecon-air", "conwy-hop", "ynys-air"]
    opens_per_second = 20
  }

  # Takes a carrier from one cell to another between 03:00 and 03:10.
  move "ynys-air" {
    from  = "small"
    to    = "general"
    start = "2026-12-02T03:00:00Z"
    span  = "10m"
    pace  = 5
  }
}
