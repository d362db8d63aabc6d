package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"

	"crosstide/internal/errs"
)

const (
	lowestPort         = 10240
	defaultLowestLocal = 32768 // of the range for outgoing connections, if the system's setting cannot be read
)

// FreePorts returns n free loopback ports. They are below the range that the system uses for outgoing connections, so
// that no outgoing connection takes the port of a node that is down. Failure: Unavailable.
func FreePorts(n int) ([]int, error) {
	end := lowestLocalPort()
	span := end - lowestPort
	if span < 4*n {
		return nil, errs.New(errs.Unavailable, "port range %d to %d is too small for %d ports", lowestPort, end, n)
	}
	from := rand.IntN(span)
	var ports []int
	for i := 0; i < span && len(ports) < n; i++ {
		port := lowestPort + (from+i)%span
		listener, err := net.Listen("tcp", loopback(port))
		if err != nil {
			continue
		}
		if err := listener.Close(); err == nil {
			ports = append(ports, port)
		}
	}
	if len(ports) < n {
		return nil, errs.New(errs.Unavailable, "found only %d of %d free ports", len(ports), n)
	}
	return ports, nil
}

// lowestLocalPort returns the lowest port that the system uses for outgoing connections.
func lowestLocalPort() int {
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		return defaultLowestLocal
	}
	lowest := 0
	if _, err := fmt.Sscan(string(data), &lowest); err != nil {
		return defaultLowestLocal
	}
	return lowest
}

func loopback(port int) string { return "127.0.0.1:" + strconv.Itoa(port) }
