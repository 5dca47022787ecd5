package storage

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
)

// Attribute names of the table.
const (
	attrPartition = "pk"
	attrSort      = "sk"
	attrVersion   = "version"
	attrValue     = "value"
)

// Conditions of the adapter's writes and queries.
const (
	conditionAbsent  = "attribute_not_exists(pk)"
	conditionVersion = "#v = :expect"
	queryPartition   = "pk = :p"
)

// ServiceSettings holds the endpoint and credentials of a DynamoDB or S3 service.
type ServiceSettings struct {
	// Endpoint is the base URL, for instance http://127.0.0.1:8000.
	Endpoint  string
	Region    string
	AccessKey string
	SecretKey string
}

func (s ServiceSettings) credentials() aws.CredentialsProvider {
	return credentials.NewStaticCredentialsProvider(s.AccessKey, s.SecretKey, "")
}

// DynamoDB implements Table with the DynamoDB protocol. It makes one attempt for each
// call; Retrying adds deadlines and retries.
type DynamoDB struct {
	client *dynamodb.Client
	table  string
}

// NewDynamoDB returns a Table for the named table, which has the partition key pk and
// the sort key sk, both strings.
func NewDynamoDB(settings ServiceSettings, table string) *DynamoDB {
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(settings.Endpoint),
		Region:       settings.Region,
		Credentials:  settings.credentials(),
		Retryer:      aws.NopRetryer{},
		HTTPClient:   bufferedClient{newHTTPClient(nil)},
	})
	return &DynamoDB{client: client, table: table}
}

// Get returns the row with a consistent read.
func (d *DynamoDB) Get(ctx context.Context, key Key) (Row, error) {
	out, err := d.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(d.table),
		Key:            keyItem(key),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return Row{}, readError("get", err)
	}
	if len(out.Item) == 0 {
		return Row{}, fmt.Errorf("%w: row %s/%s", ErrNotFound, key.Partition, key.Sort)
	}
	return decodeItem(out.Item)
}

// Put writes the row if the stored version equals expect.
func (d *DynamoDB) Put(ctx context.Context, key Key, value []byte, expect int64) (Row, error) {
	row := Row{Key: key, Version: expect + 1, Value: value}
	item := keyItem(key)
	item[attrVersion] = numberAttribute(row.Version)
	item[attrValue] = &types.AttributeValueMemberB{Value: value}
	in := &dynamodb.PutItemInput{TableName: aws.String(d.table), Item: item}
	if expect == 0 {
		in.ConditionExpression = aws.String(conditionAbsent)
	} else {
		in.ConditionExpression = aws.String(conditionVersion)
		in.ExpressionAttributeNames = map[string]string{"#v": attrVersion}
		in.ExpressionAttributeValues = map[string]types.AttributeValue{":expect": numberAttribute(expect)}
	}
	ctx, sent := traceSent(ctx)
	if _, err := d.client.PutItem(ctx, in); err != nil {
		return Row{}, writeError("put", err, sent.Load())
	}
	return row, nil
}

// Delete removes the row if the stored version equals expect.
func (d *DynamoDB) Delete(ctx context.Context, key Key, expect int64) error {
	ctx, sent := traceSent(ctx)
	_, err := d.client.DeleteItem(ctx, &dynamodb.DeleteItemInput{
		TableName:                 aws.String(d.table),
		Key:                       keyItem(key),
		ConditionExpression:       aws.String(conditionVersion),
		ExpressionAttributeNames:  map[string]string{"#v": attrVersion},
		ExpressionAttributeValues: map[string]types.AttributeValue{":expect": numberAttribute(expect)},
	})
	if err != nil {
		return writeError("delete", err, sent.Load())
	}
	return nil
}

// List returns all rows of the partition, following the service's pages.
func (d *DynamoDB) List(ctx context.Context, partition string) ([]Row, error) {
	pages := dynamodb.NewQueryPaginator(d.client, &dynamodb.QueryInput{
		TableName:              aws.String(d.table),
		ConsistentRead:         aws.Bool(true),
		KeyConditionExpression: aws.String(queryPartition),
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":p": &types.AttributeValueMemberS{Value: partition},
		},
	})
	var rows []Row
	for pages.HasMorePages() {
		page, err := pages.NextPage(ctx)
		if err != nil {
			return nil, readError("list", err)
		}
		for _, item := range page.Items {
			row, err := decodeItem(item)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func keyItem(key Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attrPartition: &types.AttributeValueMemberS{Value: key.Partition},
		attrSort:      &types.AttributeValueMemberS{Value: key.Sort},
	}
}

func numberAttribute(n int64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(n, 10)}
}

func decodeItem(item map[string]types.AttributeValue) (Row, error) {
	partition, okPartition := item[attrPartition].(*types.AttributeValueMemberS)
	sort, okSort := item[attrSort].(*types.AttributeValueMemberS)
	number, okNumber := item[attrVersion].(*types.AttributeValueMemberN)
	value, okValue := item[attrValue].(*types.AttributeValueMemberB)
	if !okPartition || !okSort || !okNumber || !okValue {
		return Row{}, errors.New("table item lacks pk, sk, version or value of the expected type")
	}
	version, err := strconv.ParseInt(number.Value, 10, 64)
	if err != nil {
		return Row{}, fmt.Errorf("version of a table item: %w", err)
	}
	return Row{Key: Key{partition.Value, sort.Value}, Version: version, Value: value.Value}, nil
}

// traceSent returns a flag that is set once a connection was obtained for the call.
// Without a connection, no byte can have reached the service.
func traceSent(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := new(atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), sent
}

func readError(op string, err error) error {
	return fmt.Errorf("%w: %s: %w", ErrUnavailable, op, err)
}

// writeError maps an SDK error of a write. Only a missing connection or a whole 4xx response
// proves that nothing was written. Status 408 does not prove it, because proxies send
// it while the request may still be in progress.
func writeError(op string, err error, sent bool) error {
	var failed *types.ConditionalCheckFailedException
	if errors.As(err, &failed) {
		return fmt.Errorf("%w: %s", ErrConflict, op)
	}
	var response interface{ HTTPStatusCode() int }
	var unreadable *smithy.DeserializationError
	if errors.As(err, &response) && !errors.As(err, &unreadable) {
		status := response.HTTPStatusCode()
		if status >= 400 && status < 500 && status != http.StatusRequestTimeout {
			return fmt.Errorf("%w: %s: %w", ErrUnavailable, op, err)
		}
	}
	if sent {
		return fmt.Errorf("%w: %s: %w", ErrUnknown, op, err)
	}
	return fmt.Errorf("%w: %s: %w", ErrUnavailable, op, err)
}
