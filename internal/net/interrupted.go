package net

import "syscall"

// retryOnEINTR repeats a system call while it is interrupted by a signal. Even a poll without a timeout may be
// interrupted, and the Go runtime sends itself signals all the time.
func retryOnEINTR(call func() (int, error)) (int, error) {
	for {
		n, err := call()
		if err != syscall.EINTR {
			return n, err
		}
	}
}

// writeAll writes until all data is written or the system takes no more, and reports whether all was written.
func writeAll(data []byte, write func([]byte) (int, error)) bool {
	for len(data) > 0 {
		n, err := retryOnEINTR(func() (int, error) { return write(data) })
		if err != nil || n <= 0 {
			return false
		}
		data = data[n:]
	}
	return true
}
