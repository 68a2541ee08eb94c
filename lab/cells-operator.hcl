cells {
  default = "general"

  cell "large" {
    share    = 0.3334
    carriers = ["dyfed-air", "menai-wings"]
  }

  cell "general" {
    share = 0.3333
  }

  cell "small" {
    share    = 0.3333
    carriers = ["severn-link", "gower-air"]
  }
}
