package telemetry

import (
	"io"
	"testing"
	"time"

	"go.uber.org/zap"
)

// BenchmarkRequestLine measures writing the line for the end of a request, which is
// the longest line of a request.
func BenchmarkRequestLine(b *testing.B) {
	log, err := NewDecisionLog("info", io.Discard)
	if err != nil {
		b.Fatal(err)
	}
	defer log.Close()
	for b.Loop() {
		log.Info("ended", zap.String("request_id", "008bceea0cac3d0c"), zap.Int("tier", 17), zap.Int("sends", 1),
			zap.Duration("elapsed", 1200*time.Millisecond), zap.String("route", "r-p3kb9rk"), zap.String("workspace", "nyle671"),
			zap.Int64("config", 4), zap.Duration("patience", 12*time.Second), zap.Duration("queued", 40*time.Millisecond),
			zap.Duration("first", 110*time.Millisecond), zap.String("target", "i-9c9397ebad"), zap.Int("prompt_tokens", 5470),
			zap.Int("status", 200), zap.Int("bytes", 1580), zap.Bool("complete", true))
	}
}
