cells {
  default = "general"

  cell "large" {
    share    = 0.5
    carriers = ["dyfed-air", "menai-wings"]
  }

  cell "general" {
    share = 0.5
  }

  move "dyfed-air" {
    from  = "large"
    to    = "general"
    start = "NOW+20s"
    span  = "20s"
    pace  = 100
  }
}
