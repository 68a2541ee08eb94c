# Example of an operator's file, which has the settings that are not part of the platform's configuration. A balancer
# reads the file that --operator or EDGE_OPERATOR names, and none by default. `bin/tealtiller check` validates a file;
# this one passes. docs/cells.md explains the cells block; the pages of the other blocks are named below.

# failover {                # docs/failover.md: zone shares, so far logged only and not applied
#   swing = 0.25
# }

# placement {                # docs/placement.md
#   plan   = "plan.json"     # written by bin/tealtiller plan
#   record = "seen-{name}.jsonl"
# }

cells {
  default = "general" # for carriers that no cell lists

  cell "general" {
    share  = 0.4
    guests = 40 # maximum number of overflow connections from other cells at a time
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

  # Moves a carrier from one cell to another between 03:00 and 03:10 UTC.
  move "ynys-air" {
    from  = "small"
    to    = "general"
    start = "2026-12-02T03:00:00Z"
    span  = "10m"
    pace  = 5
  }
}
