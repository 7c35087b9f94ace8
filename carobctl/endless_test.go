package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backendtest"
)

// TestEndlessResponsesTakeBoundedMemory guards against a node that ends carobctl by bytes without end.
func TestEndlessResponsesTakeBoundedMemory(t *testing.T) {
	const maxHeap = 5 * maxResponseBytes // bytes in all; a buffer that doubles takes four times its final size
	for name, answer := range backendtest.Endless {
		for _, status := range []string{"200 OK", "500 Internal Server Error"} {
			t.Run(status+"/"+name, func(t *testing.T) {
				begin := strings.Replace(answer.Begin, "200 OK\r\n", status+"\r\nContent-Type: application/proto\r\n", 1)
				addr := backendtest.ServeEndless(t, begin, answer.Repeat)
				got := backendtest.AllocatedDuring(func() {
					require.NotZero(t, carobctl(addr, "", "--timeout", "2s", "status").code)
				})
				require.Less(t, got, uint64(maxHeap))
			})
		}
	}
}
