// Package table simulates the platform's table service. It implements the DynamoDB
// JSON operations that the platform adapter uses and rejects all others.
package table

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/basilloom/basilloom/internal/standin/fault"
	"github.com/basilloom/basilloom/internal/standin/memtable"
	"github.com/basilloom/basilloom/storage"
)

const (
	targetPrefix = "DynamoDB_20120810."
	contentType  = "application/x-amz-json-1.0"
	// maxItemBytes and maxPageBytes are the limits of the real service.
	maxItemBytes = 400 << 10
	maxPageBytes = 1 << 20
	// maxRequestBytes is larger than maxItemBytes because an item is encoded in base64
	// and JSON.
	maxRequestBytes = 1 << 20
)

// Server simulates the table service. Table gives direct access to its rows and
// faults.
type Server struct {
	Table *memtable.Table
	name  string
	mux   *http.ServeMux
}

// New returns a server with one empty table of the given name.
func New(name string, faults fault.Settings) *Server {
	s := &Server{Table: memtable.New(faults), name: name, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /{$}", s.operation)
	s.mux.Handle("POST /fault", s.Table.Faults)
	return s
}

// ServeHTTP serves operations on / and sets faults on /fault.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B []byte  `json:"B,omitempty"`
}

type item map[string]attribute

type request struct {
	TableName                 string
	Key                       item
	Item                      item
	ConsistentRead            bool
	ConditionExpression       string
	KeyConditionExpression    string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues item
	ExclusiveStartKey         item
}

type response struct {
	Item             item   `json:",omitempty"`
	Items            []item `json:",omitempty"`
	Count            int    `json:",omitempty"`
	LastEvaluatedKey item   `json:",omitempty"`
}

// serviceError is an error response of the protocol.
type serviceError struct {
	status  int
	code    string
	message string
}

func (e *serviceError) Error() string { return e.code + ": " + e.message }

func validationError(format string, args ...any) error {
	return &serviceError{http.StatusBadRequest, "ValidationException", fmt.Sprintf(format, args...)}
}

func (s *Server) operation(w http.ResponseWriter, r *http.Request) {
	out, err := s.execute(r)
	if errors.Is(err, storage.ErrUnknown) || r.Context().Err() != nil {
		// Closes the connection without a response.
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", contentType)
	if err != nil {
		failure := asServiceError(err)
		w.WriteHeader(failure.status)
		_ = json.NewEncoder(w).Encode(map[string]string{
			"__type":  "com.amazonaws.dynamodb.v20120810#" + failure.code,
			"message": failure.message,
		})
		return
	}
	_ = json.NewEncoder(w).Encode(out)
}

func asServiceError(err error) *serviceError {
	var failure *serviceError
	switch {
	case errors.As(err, &failure):
		return failure
	case errors.Is(err, storage.ErrConflict):
		return &serviceError{http.StatusBadRequest, "ConditionalCheckFailedException", "The conditional request failed"}
	case errors.Is(err, fault.ErrThrottled):
		return &serviceError{http.StatusBadRequest, "ProvisionedThroughputExceededException", err.Error()}
	}
	return &serviceError{http.StatusServiceUnavailable, "ServiceUnavailable", err.Error()}
}

func (s *Server) execute(r *http.Request) (response, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes+1))
	if err != nil {
		return response{}, validationError("body: %v", err)
	}
	if len(body) > maxRequestBytes {
		return response{}, validationError("request exceeds %d bytes", maxRequestBytes)
	}
	var in request
	if err := json.Unmarshal(body, &in); err != nil {
		return response{}, validationError("body: %v", err)
	}
	if in.TableName != s.name {
		return response{}, &serviceError{http.StatusBadRequest, "ResourceNotFoundException", "no table " + in.TableName}
	}
	target := r.Header.Get("X-Amz-Target")
	switch strings.TrimPrefix(target, targetPrefix) {
	case "GetItem":
		return s.getItem(r, in)
	case "PutItem":
		return response{}, s.putItem(r, in)
	case "DeleteItem":
		return response{}, s.deleteItem(r, in)
	case "Query":
		return s.query(r, in)
	}
	return response{}, &serviceError{http.StatusBadRequest, "UnknownOperationException", "the stand-in has no operation " + target}
}

func (s *Server) getItem(r *http.Request, in request) (response, error) {
	if !in.ConsistentRead {
		return response{}, validationError("the stand-in supports consistent reads only")
	}
	key, err := readKey(in.Key)
	if err != nil {
		return response{}, err
	}
	row, err := s.Table.Get(r.Context(), key)
	if errors.Is(err, storage.ErrNotFound) {
		return response{}, nil
	}
	return response{Item: writeItem(row)}, err
}

func (s *Server) putItem(r *http.Request, in request) error {
	key, err := readKey(in.Item)
	if err != nil {
		return err
	}
	expect, err := readCondition(in)
	if err != nil {
		return err
	}
	version, err := readNumber(in.Item["version"])
	if err != nil {
		return err
	}
	if version != expect+1 {
		return validationError("version %d does not follow the condition's %d", version, expect)
	}
	value := in.Item["value"].B
	if len(key.Partition)+len(key.Sort)+len(value) > maxItemBytes {
		return validationError("Item size has exceeded the maximum allowed size")
	}
	_, err = s.Table.Put(r.Context(), key, value, expect)
	return err
}

func (s *Server) deleteItem(r *http.Request, in request) error {
	key, err := readKey(in.Key)
	if err != nil {
		return err
	}
	expect, err := readCondition(in)
	if err != nil {
		return err
	}
	return s.Table.Delete(r.Context(), key, expect)
}

func (s *Server) query(r *http.Request, in request) (response, error) {
	partition := in.ExpressionAttributeValues[":p"].S
	if in.KeyConditionExpression != "pk = :p" || partition == nil {
		return response{}, validationError("the stand-in supports the key condition \"pk = :p\" only")
	}
	after := ""
	if start := in.ExclusiveStartKey["sk"].S; start != nil {
		after = *start
	}
	rows, err := s.Table.List(r.Context(), *partition)
	if err != nil {
		return response{}, err
	}
	var out response
	size := 0
	for _, row := range rows {
		if row.Key.Sort <= after {
			continue
		}
		if size += len(row.Value); size > maxPageBytes {
			out.LastEvaluatedKey = keyAttributes(out.Items[len(out.Items)-1])
			break
		}
		out.Items = append(out.Items, writeItem(row))
	}
	out.Count = len(out.Items)
	return out, nil
}

func keyAttributes(i item) item {
	return item{"pk": i["pk"], "sk": i["sk"]}
}

func readKey(i item) (storage.Key, error) {
	partition, sort := i["pk"].S, i["sk"].S
	if partition == nil || sort == nil || *partition == "" || *sort == "" {
		return storage.Key{}, validationError("key attributes pk and sk must be non-empty strings")
	}
	return storage.Key{Partition: *partition, Sort: *sort}, nil
}

func readNumber(a attribute) (int64, error) {
	if a.N == nil {
		return 0, validationError("number attribute missing")
	}
	n, err := strconv.ParseInt(*a.N, 10, 64)
	if err != nil {
		return 0, validationError("number attribute: %v", err)
	}
	return n, nil
}

// readCondition returns the version that the condition expects, or 0 if the row
// must not exist.
func readCondition(in request) (int64, error) {
	switch in.ConditionExpression {
	case "attribute_not_exists(pk)":
		return 0, nil
	case "#v = :expect":
		if in.ExpressionAttributeNames["#v"] == "version" {
			return readNumber(in.ExpressionAttributeValues[":expect"])
		}
	}
	return 0, validationError("the stand-in has no condition %q", in.ConditionExpression)
}

func writeItem(row storage.Row) item {
	if row.Version == 0 {
		return nil
	}
	version := strconv.FormatInt(row.Version, 10)
	return item{
		"pk":      {S: &row.Key.Partition},
		"sk":      {S: &row.Key.Sort},
		"version": {N: &version},
		"value":   {B: row.Value},
	}
}
