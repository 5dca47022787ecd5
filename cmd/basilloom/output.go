package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/basilloom/basilloom/config"
)

// call sends one request with the timeout of --call-timeout.
func call[Req, Res any](e *env, method func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error), request *Req) (*Res, error) {
	ctx, cancel := context.WithTimeout(e.ctx, e.callTimeout)
	defer cancel()
	response, err := method(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// printMessage writes one JSON object on one line. protojson varies its white space;
// json.Compact normalizes it for scripts that compare lines.
func (e *env) printMessage(message proto.Message) error {
	raw, err := protojson.MarshalOptions{UseProtoNames: true, EmitDefaultValues: true}.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	var line bytes.Buffer
	if err := json.Compact(&line, raw); err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	_, err = fmt.Fprintln(e.stdout, line.String())
	return err
}

// printTable writes rows with aligned columns; the first row is the heading.
func (e *env) printTable(rows [][]string) error {
	table := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return table.Flush()
}

func formatTime(t *timestamppb.Timestamp) string {
	if t == nil {
		return "-"
	}
	return t.AsTime().Format(time.RFC3339)
}

// printError writes an error to stderr. Faults of a configuration are written one per
// line and, with --output json, also as an object to stdout.
func (e *env) printError(err error, stderr io.Writer) {
	var faults config.Errors
	if !errors.As(err, &faults) {
		if err != nil {
			_, _ = fmt.Fprintln(stderr, "basilloom:", err)
		}
		return
	}
	for _, fault := range faults {
		_, _ = fmt.Fprintln(stderr, "basilloom:", fault)
	}
	if e.json {
		_ = json.NewEncoder(e.stdout).Encode(map[string]config.Errors{"faults": faults})
	}
}
