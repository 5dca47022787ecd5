package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
)

// endMarker is the data of the last event of a stream.
const endMarker = "[DONE]"

// Event is one server-sent event of a response.
type Event struct {
	// Number is 0 for an event without an id.
	Number int64
	Data   []byte
	// Token is set if the event carries generated content.
	Token bool
	// End is set for the end marker.
	End bool
}

// AppendTo appends the event in its wire form.
func (e Event) AppendTo(b []byte) []byte {
	if e.Number > 0 {
		b = append(b, "id: "...)
		b = strconv.AppendInt(b, e.Number, 10)
		b = append(b, '\n')
	}
	b = append(b, "data: "...)
	b = append(b, e.Data...)
	return append(b, "\n\n"...)
}

// streamChecker validates the events of one response across resumed connections.
type streamChecker struct {
	id       string
	last     int64
	finished bool
	usage    Usage
}

type chunkBody struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

// read calls handle for the events of one connection until the end marker.
func (c *streamChecker) read(r io.Reader, handle func(Event) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	var event Event
	for scanner.Scan() {
		line := scanner.Bytes()
		if len(line) > 0 {
			if err := event.addField(line); err != nil {
				return err
			}
			continue
		}
		if event.Data == nil {
			continue
		}
		done, err := c.accept(&event, handle)
		if done || err != nil {
			return err
		}
		event = Event{}
	}
	if err := scanner.Err(); err != nil {
		return readError(err)
	}
	return &ResponseError{Kind: ResponseTruncated, Detail: "stream ended without its end marker"}
}

func (c *streamChecker) accept(event *Event, handle func(Event) error) (done bool, err error) {
	if string(event.Data) == endMarker {
		if !c.finished {
			return true, &ResponseError{Kind: ResponseMalformed, Detail: "end marker without a finish reason"}
		}
		event.End = true
		return true, handle(*event)
	}
	if event.Number > 0 && event.Number <= c.last {
		return false, nil // repeated after a resume
	}
	if event.Number > 0 && event.Number != c.last+1 {
		return true, &ResponseError{Kind: ResponseMalformed, Detail: fmt.Sprintf("event %d follows %d", event.Number, c.last)}
	}
	if err := c.inspect(event); err != nil {
		return true, err
	}
	if event.Number > 0 {
		c.last = event.Number
	}
	return false, handle(*event)
}

func (c *streamChecker) inspect(event *Event) error {
	var chunk chunkBody
	if err := json.Unmarshal(event.Data, &chunk); err != nil {
		return &ResponseError{Kind: ResponseMalformed, Detail: err.Error()}
	}
	if chunk.ID != c.id {
		return &ResponseError{Kind: ResponseMismatched, Detail: fmt.Sprintf("event names request %q", chunk.ID)}
	}
	if chunk.Usage != nil {
		c.usage = *chunk.Usage
	}
	if len(chunk.Choices) == 0 {
		return nil
	}
	event.Token = chunk.Choices[0].Delta.Content != ""
	if reason := chunk.Choices[0].FinishReason; reason != nil && *reason != "" {
		c.finished = true
	}
	return nil
}

func (e *Event) addField(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if e.Data != nil {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
	case "id":
		number, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil {
			return &ResponseError{Kind: ResponseMalformed, Detail: "event id is not a number"}
		}
		e.Number = number
	}
	return nil
}
